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

// ErrWrongAnswers reports that a load got incorrect answers.
var ErrWrongAnswers = errors.New("some answers were wrong; see the column \"wrong\" of the table")

// errNotLinked reports a command that needs a part of the system that the binary is not linked with.
var errNotLinked = errors.New("this binary is not linked with the system; build it with the daemon package")

// callersPerLoad is the number of callers of a load, each of which has its own connections.
const callersPerLoad = 64

type loadCommand struct {
	env *environment

	Hosts        []string      `long:"host" required:"true" description:"IP:PORT of an entry host; may be repeated"`
	Local        string        `long:"from" default:"127.0.0.1" description:"IP address to send from"`
	Organisation string        `long:"organisation" choice:"kopi" choice:"asociacion" default:"kopi" description:"organisation whose calls to send"`
	Rate         float64       `long:"rate" default:"20" description:"mean calls a second, without bursts and repetitions"`
	Duration     time.Duration `long:"duration" default:"30s" description:"time within which new calls are sent"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the calls"`
	Steady       bool          `long:"steady" description:"keep the rate constant"`
	NoAdvice     bool          `long:"no-advice" description:"use only the given hosts, and do not ask them for others"`
	JSON         bool          `long:"json" description:"print the result as JSON"`
}

// Execute sends the load and prints the result.
func (c *loadCommand) Execute([]string) error {
	local, err := netip.ParseAddr(c.Local)
	if err != nil {
		return fmt.Errorf("--from %q is not an IP address: %w", c.Local, err)
	}
	org := workload.KopiLintasData()
	if c.Organisation == "asociacion" {
		org = workload.Asociacion()
	}
	s := load.Settings{}
	for i := range callersPerLoad {
		client := caller.New(caller.Settings{
			Network: network.TCP{Local: local}, Hosts: c.Hosts, KnownHostsOnly: c.NoAdvice, Seed: c.Seed + uint64(i),
		})
		defer client.Close()
		s.Callers = append(s.Callers, client)
	}
	plan := org.Plan(workload.Settings{
		Seed: c.Seed, Duration: c.Duration, Rate: c.Rate, Steady: c.Steady,
	})
	summaries := load.Run(c.env.ctx, s, plan).Summaries()
	if c.JSON {
		err = report.WriteJSON(c.env.Out, summaries)
	} else {
		title := fmt.Sprintf("%s, rate %v/s, %v, seed %d", org.Name, c.Rate, c.Duration, c.Seed)
		err = report.SummaryTable(title, summaries).WriteText(c.env.Out)
	}
	for _, sum := range summaries {
		if sum.Counts.Wrong > 0 {
			return errors.Join(err, ErrWrongAnswers)
		}
	}
	return err
}

type capacityCommand struct {
	env *environment

	JSON       bool   `long:"json" description:"print the result as JSON"`
	NameFilter string `long:"only" description:"run the measurements whose name contains this text"`
}

// Execute runs the selected measurements and prints their fitted lines.
func (c *capacityCommand) Execute([]string) error {
	var fits []capacity.LinearFit
	for _, m := range append(capacity.Measurements(), c.env.Measurements...) {
		if !strings.Contains(m.Name, c.NameFilter) {
			continue
		}
		if err := c.env.ctx.Err(); err != nil {
			return err
		}
		s, err := capacity.Measure(m)
		if err != nil {
			return err
		}
		fits = append(fits, s)
	}
	if c.JSON {
		return report.WriteJSON(c.env.Out, fits)
	}
	return capacity.Table(fits).WriteText(c.env.Out)
}

type experimentCommand struct {
	env *environment

	Seeds  []uint64 `long:"seed" default:"1" description:"seed of a pair of runs; may be repeated"`
	Folder string   `long:"out" description:"directory for results as JSON and plots as PNG"`
	Args   struct {
		Name string `positional-arg-name:"NAME" required:"true" description:"name of the experiment"`
	} `positional-args:"true"`
}

// Execute runs an experiment or a simulation for each seed and prints the results.
func (c *experimentCommand) Execute([]string) error {
	if len(c.env.Experiments) == 0 {
		return errNotLinked
	}
	for _, s := range c.env.Simulations {
		if s.Name == c.Args.Name {
			return c.simulate(s)
		}
	}
	e, err := experiment.Find(c.env.Experiments, c.Args.Name)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.env.Out, e.Question)
	results, err := e.Run(c.env.ctx, c.Seeds)
	return errors.Join(err, e.Write(c.env.Out, c.Folder, results))
}

// simulate runs a simulation for each seed, and prints and writes its results.
func (c *experimentCommand) simulate(s experiment.Simulation) error {
	var results []fmt.Stringer
	for _, seed := range c.Seeds {
		t, err := s.Run(seed)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.env.Out, t)
		results = append(results, t)
	}
	return experiment.WriteResults(c.Folder, s.Name, results)
}

type demoCommand struct {
	env *environment

	Seed uint64 `long:"seed" default:"1" description:"seed of the run"`
}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	if c.env.Demo == nil {
		return errNotLinked
	}
	return c.env.Demo.Run(c.env.ctx, c.Seed, c.env.Out)
}
