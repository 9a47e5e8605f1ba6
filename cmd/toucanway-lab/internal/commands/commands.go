package commands

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"toucanway/cmd/toucanway-lab/internal/capacity"
	"toucanway/cmd/toucanway-lab/internal/experiment"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Demo runs the system with stand-ins in one process and tells what happens, until it ends or the context does.
type Demo interface {
	Run(ctx context.Context, seed uint64, out io.Writer) error
}

// Settings are what the commands work with.
type Settings struct {
	Args []string
	Out  io.Writer
	Err  io.Writer
	// Experiments, Simulations and Demo are those that the binary is linked with.
	Experiments []experiment.Experiment
	Simulations []experiment.Simulation
	Demo        Demo
	// Measurements are those of the assembled daemon, which take minutes.
	Measurements []capacity.Measurement
}

// runtime is what every command has.
type runtime struct {
	ctx context.Context
	Settings
}

// Run carries out the command in the arguments and returns the exit code of the process.
func Run(ctx context.Context, s Settings) int {
	r := &runtime{ctx: ctx, Settings: s}
	p := flags.NewNamedParser("toucanway-lab", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "stand-ins, loads, measurements and experiments for toucanway"
	for _, c := range tree(r) {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			fmt.Fprintln(s.Err, err)
			return exitFailed
		}
	}
	_, err := p.ParseArgs(s.Args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(s.Out, err)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(s.Err, err)
		return exitUsage
	default:
		fmt.Fprintln(s.Err, "toucanway-lab:", err)
		return exitFailed
	}
}

type entry struct {
	name, short, long string
	command           any
}

func tree(r *runtime) []entry {
	return []entry{
		{
			"engine", "run stand-in model engines",
			"Runs stand-in model engines that share one weight store, until a signal arrives.", &engineCommand{run: r},
		},
		{
			"service", "run a stand-in plain service",
			"Runs a stand-in plain service until a signal arrives, and prints how often it ran each key.", &serviceCommand{run: r},
		},
		{
			"load", "put a seeded load on entry hosts",
			"Sends the calls of an organisation at their intended times, verifies the answers, and prints latencies and counts.",
			&loadCommand{run: r},
		},
		{
			"capacity", "measure slopes and extrapolate them",
			"Measures state, messages and CPU time at several sizes and extrapolates them to the target.", &capacityCommand{run: r},
		},
		{
			"experiment", "compare two variants of the system",
			"Runs the baseline and the change of an experiment for each seed and prints both with their ratio.", &experimentCommand{run: r},
		},
		{
			"demo", "show the system at work", "Runs the system with stand-ins in one process and tells what happens.", &demoCommand{run: r},
		},
		{
			"soak", "break gateways and controllers at random",
			"Starts gateways and controllers as processes on loopback addresses, injects seeded faults from outside, and checks what callers, backend servers and operators see.",
			&soakCommand{run: r},
		},
	}
}
