package commands

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"toucanway/cmd/toucanway-lab/internal/soak"
)

// errGuaranteesViolated reports that a soak run violated a guarantee of the system. The violations were printed before.
var errGuaranteesViolated = errors.New("guarantees were violated; the logs are in the printed folders")

type soakCommand struct {
	env *environment

	Program  string        `long:"program" required:"true" value-name:"FILE" description:"path of the toucanway program"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the first run"`
	Runs     int           `long:"runs" default:"1" description:"number of runs, with consecutive seeds"`
	Duration time.Duration `long:"duration" default:"15s" description:"time of each run in which faults are injected"`
	Logs     bool          `long:"logs" description:"keep the logs of all runs, not only of those with violations"`
	Accounts bool          `long:"accounts" description:"run with client accounts, keys and quotas"`
}

// Execute runs the soak with each seed, prints the results, and writes the logs of runs with violations to a folder.
func (c *soakCommand) Execute([]string) error {
	failed := false
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		res, err := soak.Run(c.env.ctx, soak.Settings{Program: c.Program, Seed: seed, Duration: c.Duration, Accounts: c.Accounts, Out: c.env.Out})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.env.Out, "seed %d: %d answered, %d not answered, %d requests ran, %d violations\n",
			seed, res.Answered, res.Failed, res.Runs, len(res.Violations))
		failed = failed || len(res.Violations) > 0
		if len(res.Violations) == 0 && !c.Logs {
			continue
		}
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
			fmt.Fprintf(c.env.Out, "  %s\n", v)
		}
		fmt.Fprintf(c.env.Out, "  logs: %s\n", folder)
	}
	if failed {
		return errGuaranteesViolated
	}
	return nil
}
