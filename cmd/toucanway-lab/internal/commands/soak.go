package commands

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"toucanway/cmd/toucanway-lab/internal/soak"
)

// errSoak says that a soak found a broken promise, which was printed.
var errSoak = errors.New("promises were broken; the logs are in the printed folder")

type soakCommand struct {
	run *runtime

	Program  string        `long:"program" required:"true" value-name:"FILE" description:"path of the toucanway program"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the first run"`
	Runs     int           `long:"runs" default:"1" description:"number of runs, with one seed after the other"`
	Duration time.Duration `long:"duration" default:"15s" description:"time of each run in which faults come"`
}

// Execute plays the runs and prints what each has found.
func (c *soakCommand) Execute([]string) error {
	failed := false
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		res, err := soak.Run(c.run.ctx, soak.Settings{Program: c.Program, Seed: seed, Duration: c.Duration, Out: c.run.Out})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.run.Out, "seed %d: %d answered, %d not, %d requests ran, %d promises broken\n",
			seed, res.Answered, res.Failed, res.Runs, len(res.Violations))
		if len(res.Violations) == 0 {
			continue
		}
		failed = true
		folder, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", seed))
		if err != nil {
			return err
		}
		for name, log := range res.Logs {
			if err := os.WriteFile(filepath.Join(folder, name+".log"), []byte(log), 0o600); err != nil {
				return err
			}
		}
		for _, v := range res.Violations {
			fmt.Fprintf(c.run.Out, "  %s\n", v)
		}
		fmt.Fprintf(c.run.Out, "  logs: %s\n", folder)
	}
	if failed {
		return errSoak
	}
	return nil
}
