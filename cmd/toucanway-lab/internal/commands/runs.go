package commands

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/capacity"
	"toucanway/cmd/toucanway-lab/internal/experiment"
	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/cmd/toucanway-lab/internal/report"
	"toucanway/cmd/toucanway-lab/internal/workload"
	"toucanway/io/network"
)

// ErrWrongAnswers reports a load in which answers were not the right ones.
var ErrWrongAnswers = errors.New("answers were wrong; see the column in the table")

// errNotLinked reports a command whose system is not part of the binary.
var errNotLinked = errors.New("this binary is not linked with the system; build it with the daemon package")

// clients is the number of callers with connections of their own that a load uses.
const clients = 64

type loadCommand struct {
	run *runtime

	Hosts        []string      `long:"host" required:"true" description:"IP:PORT of an entry host; may be repeated"`
	Local        string        `long:"from" default:"127.0.0.1" description:"IP address to send from"`
	Organisation string        `long:"organisation" choice:"kopi" choice:"asociacion" default:"kopi" description:"whose calls to send"`
	Rate         float64       `long:"rate" default:"20" description:"mean calls a second, without bursts and resends"`
	Duration     time.Duration `long:"duration" default:"30s" description:"time of the last call"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the calls"`
	Steady       bool          `long:"steady" description:"keep the rate constant"`
	NoAdvice     bool          `long:"no-advice" description:"send to the given hosts without asking for better ones"`
	JSON         bool          `long:"json" description:"print the result as JSON"`
}

// Execute sends the load and prints the result.
func (c *loadCommand) Execute([]string) error {
	local, err := netip.ParseAddr(c.Local)
	if err != nil {
		return fmt.Errorf("--from %q is no IP address: %w", c.Local, err)
	}
	org := workload.KopiLintasData()
	if c.Organisation == "asociacion" {
		org = workload.Asociacion()
	}
	s := load.Settings{}
	for i := range clients {
		client := caller.New(caller.Settings{
			Network: network.TCP{Local: local}, Hosts: c.Hosts, NoAdvice: c.NoAdvice, Seed: c.Seed + uint64(i),
		})
		defer client.Close()
		s.Callers = append(s.Callers, client)
	}
	plan := org.Plan(workload.Settings{
		Seed: c.Seed, Duration: c.Duration, Rate: c.Rate, Steady: c.Steady,
	})
	summaries := load.Run(c.run.ctx, s, plan).Summaries()
	if c.JSON {
		err = report.WriteJSON(c.run.Out, summaries)
	} else {
		title := fmt.Sprintf("%s, rate %v/s, %v, seed %d", org.Name, c.Rate, c.Duration, c.Seed)
		err = report.Summaries(title, summaries).WriteText(c.run.Out)
	}
	for _, sum := range summaries {
		if sum.Counts.Wrong > 0 {
			return errors.Join(err, ErrWrongAnswers)
		}
	}
	return err
}

type capacityCommand struct {
	run *runtime

	JSON bool   `long:"json" description:"print the result as JSON"`
	Only string `long:"only" description:"run the measurements whose name contains this text"`
}

// Execute runs all measurements and prints their lines.
func (c *capacityCommand) Execute([]string) error {
	var fits []capacity.LinearFit
	for _, m := range append(capacity.Measurements(), c.run.Measurements...) {
		if !strings.Contains(m.Name, c.Only) {
			continue
		}
		if err := c.run.ctx.Err(); err != nil {
			return err
		}
		s, err := capacity.Measure(m)
		if err != nil {
			return err
		}
		fits = append(fits, s)
	}
	if c.JSON {
		return report.WriteJSON(c.run.Out, fits)
	}
	return capacity.Table(fits).WriteText(c.run.Out)
}

type experimentCommand struct {
	run *runtime

	Seeds []uint64 `long:"seed" default:"1" description:"seed of a pair of runs; may be repeated"`
	Out   string   `long:"out" description:"directory for results as JSON and plots as PNG"`
	Args  struct {
		Name string `positional-arg-name:"NAME" required:"true" description:"name of the experiment"`
	} `positional-args:"true"`
}

// Execute runs one experiment and prints its comparisons.
func (c *experimentCommand) Execute([]string) error {
	if len(c.run.Experiments) == 0 {
		return errNotLinked
	}
	for _, s := range c.run.Simulations {
		if s.Name == c.Args.Name {
			return c.simulate(s)
		}
	}
	e, err := experiment.Find(c.run.Experiments, c.Args.Name)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.run.Out, e.Question)
	results, err := e.Run(c.run.ctx, c.Seeds)
	return errors.Join(err, e.Write(c.run.Out, c.Out, results))
}

// simulate runs a simulation for each seed.
func (c *experimentCommand) simulate(s experiment.Simulation) error {
	var results []fmt.Stringer
	for _, seed := range c.Seeds {
		t, err := s.Run(seed)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.run.Out, t)
		results = append(results, t)
	}
	return experiment.WriteResults(c.Out, s.Name, results)
}

type demoCommand struct {
	run *runtime

	Seed uint64 `long:"seed" default:"1" description:"seed of the run"`
}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	if c.run.Demo == nil {
		return errNotLinked
	}
	return c.run.Demo.Run(c.run.ctx, c.Seed, c.run.Out)
}
