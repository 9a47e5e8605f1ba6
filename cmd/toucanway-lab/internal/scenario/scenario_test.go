package scenario

import (
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/script"
)

// Each script of testdata guards against the failure that its first lines name.
func TestScenarios(t *testing.T) { script.ForEach(t, runScenario) }

func runScenario(t *testing.T, file string) {
	synctest.Test(t, func(t *testing.T) {
		r := &run{}
		defer closeAndCheck(t, r)
		cmds := map[string]script.Command{}
		for name, c := range commands() {
			cmds[name] = func(ts *testscript.TestScript, words []string) error { return runCommand(ts, r, c, words) }
		}
		script.Run(t, file, cmds)
	})
}

func runCommand(ts *testscript.TestScript, r *run, c command, words []string) error {
	r.ts = ts
	args, opt := script.Parse(words)
	err := c(r, args, opt)
	if err == nil && len(opt) > 0 {
		ts.Fatalf("%v: %v", errUnknownOption, opt)
	}
	return err
}

// closeAndCheck ends the scenario and checks the invariants. If the scenario failed, it prints the history and the hosts' logs.
func closeAndCheck(t *testing.T, r *run) {
	if r.simulation == nil {
		return
	}
	violations, err := r.simulation.close()
	if violations != "" || err != nil || t.Failed() {
		for _, rec := range r.simulation.history.Records() {
			if _, peak := rec.Event.(history.MemoryPeak); !peak {
				t.Log(rec.String())
			}
		}
		t.Log(r.simulation.log.String())
	}
	require.NoError(t, err)
	require.Empty(t, violations)
}
