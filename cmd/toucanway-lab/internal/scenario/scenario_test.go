package scenario

import (
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/history"
)

// scriptT runs a script inside the bubble of the test that it belongs to.
type scriptT struct{ *testing.T }

func (t scriptT) Parallel()                          {}
func (t scriptT) Verbose() bool                      { return testing.Verbose() }
func (t scriptT) Run(_ string, f func(testscript.T)) { f(t) }

// Every script of testdata guards against the failure that its first line names.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			play(t, file)
		})
	}
}

func play(t *testing.T, file string) {
	synctest.Test(t, func(t *testing.T) {
		r := &run{}
		defer finish(t, r)
		cmds := map[string]func(*testscript.TestScript, bool, []string){}
		for name, c := range commands() {
			cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) { execute(ts, r, c, neg, args) }
		}
		testscript.RunT(scriptT{t}, testscript.Params{Files: []string{file}, Cmds: cmds})
	})
}

func execute(ts *testscript.TestScript, r *run, c command, neg bool, args []string) {
	r.ts = ts
	rest, opt := parse(args)
	err := c(r, rest, opt)
	if err == nil && len(opt) > 0 {
		ts.Fatalf("%v: %v", errUnused, opt)
	}
	switch {
	case neg && err == nil:
		ts.Fatalf("command succeeded and should fail")
	case !neg && err != nil:
		ts.Fatalf("%v", err)
	}
}

// finish ends the scenario, checks the invariants and prints the trace of a failed one.
func finish(t *testing.T, r *run) {
	if r.world == nil {
		return
	}
	violations, err := r.world.close()
	if violations != "" || err != nil || t.Failed() {
		for _, rec := range r.world.history.Records() {
			if _, peak := rec.Event.(history.MemoryPeak); !peak {
				t.Log(rec.String())
			}
		}
		t.Log(r.world.log.String())
	}
	require.NoError(t, err)
	require.Empty(t, violations)
}
