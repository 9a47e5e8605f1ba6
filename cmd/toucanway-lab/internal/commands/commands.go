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

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Demo runs the system with stand-in backend servers in one process and prints what happens, until it is done or the context
// is cancelled.
type Demo interface {
	Run(ctx context.Context, seed uint64, out io.Writer) error
}

// Settings are the arguments and outputs of the process and the parts that its commands run.
type Settings struct {
	Args []string
	Out  io.Writer
	Err  io.Writer
	// Experiments, Simulations and Demo are those that the binary is linked with; without them the commands that need them
	// fail.
	Experiments []experiment.Experiment
	Simulations []experiment.Simulation
	Demo        Demo
	// Measurements are the capacity measurements on running deployments, which take minutes.
	Measurements []capacity.Measurement
}

// environment holds the context and the settings that every command gets.
type environment struct {
	ctx context.Context
	Settings
}

// Run parses the arguments, runs the command and returns the exit code of the process.
func Run(ctx context.Context, s Settings) int {
	r := &environment{ctx: ctx, Settings: s}
	p := flags.NewNamedParser("toucanway-lab", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "stand-ins, workloads, measurements and experiments for toucanway"
	for _, c := range commandEntries(r) {
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

// commandEntry is a command with its name and its descriptions in the help text.
type commandEntry struct {
	name, short, long string
	command           any
}

// commandEntries returns all commands.
func commandEntries(r *environment) []commandEntry {
	return []commandEntry{
		{
			"engine", "run stand-in model engines",
			"Runs stand-in model engines that share one weight store, until a signal arrives.", &engineCommand{env: r},
		},
		{
			"service", "run a stand-in plain service",
			"Runs a stand-in plain service until a signal arrives, and prints how often it ran each key.", &serviceCommand{env: r},
		},
		{
			"load", "send a seeded workload to entry hosts",
			"Sends the calls of an organisation at their intended times, verifies the answers, and prints latencies and counts.",
			&loadCommand{env: r},
		},
		{
			"capacity", "measure the growth of costs and extrapolate it",
			"Measures state, messages and CPU time at several sizes and extrapolates them to the target.", &capacityCommand{env: r},
		},
		{
			"experiment", "compare two variants of the system",
			"Runs the baseline and the change of an experiment for each seed and prints both with their ratio.", &experimentCommand{env: r},
		},
		{
			"demo", "demonstrate the system", "Runs the system with stand-ins in one process and prints what happens.", &demoCommand{env: r},
		},
		{
			"soak", "inject random faults into gateways and controllers",
			"Starts gateways and controllers as processes on loopback addresses, injects seeded faults from outside, and checks what callers, backend servers and operators see.",
			&soakCommand{env: r},
		},
	}
}
