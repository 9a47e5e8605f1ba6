// Command toucanway-lab runs simulated backend servers, load, measurements and experiments for toucanway.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"toucanway/cmd/toucanway-lab/internal/commands"
	"toucanway/cmd/toucanway-lab/internal/cost"
	"toucanway/cmd/toucanway-lab/internal/demo"
	"toucanway/cmd/toucanway-lab/internal/experiment"
	"toucanway/cmd/toucanway-lab/internal/organisation"
	"toucanway/cmd/toucanway-lab/internal/placementpolicy"
	"toucanway/cmd/toucanway-lab/internal/policy"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// After the first signal the default handling is restored, so that a second one ends the process at once.
	context.AfterFunc(ctx, stop)
	os.Exit(commands.Run(ctx, commands.Settings{
		Args: os.Args[1:], Out: os.Stdout, Err: os.Stderr,
		Experiments: organisation.Experiments(), Simulations: simulations(), Demo: demo.Demo{},
		Measurements: cost.Measurements(ctx),
	}))
}

// simulations returns the simulations of request and placement policies.
func simulations() []experiment.Simulation {
	var out []experiment.Simulation
	for _, name := range policy.Names() {
		out = append(out, experiment.Simulation{Name: "policy-" + name, Run: func(seed uint64) (fmt.Stringer, error) {
			t, err := policy.Run(name, seed)
			return t, err
		}})
	}
	for _, name := range placementpolicy.Names() {
		out = append(out, experiment.Simulation{Name: "placement-" + name, Run: func(seed uint64) (fmt.Stringer, error) {
			t, err := placementpolicy.Run(name, seed)
			return &t, err
		}})
	}
	return out
}
