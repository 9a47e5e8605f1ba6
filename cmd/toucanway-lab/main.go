// Command toucanway-lab runs stand-ins of backend servers, loads, measurements and experiments against toucanway.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"toucanway/cmd/toucanway-lab/internal/commands"
	"toucanway/cmd/toucanway-lab/internal/demo"
	"toucanway/cmd/toucanway-lab/internal/experiment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// After the first signal the next one ends the process at once.
	context.AfterFunc(ctx, stop)
	os.Exit(commands.Run(ctx, commands.Settings{
		Args: os.Args[1:], Out: os.Stdout, Err: os.Stderr, Experiments: []experiment.Experiment{}, Demo: demo.Demo{},
	}))
}
