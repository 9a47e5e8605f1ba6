package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ciDuration is the time of faults of the run in CI.
const ciDuration = 6 * time.Second

// regressions are seeds that have failed once, each with its cause.
var regressions = map[uint64]string{}

// Guards against a broken promise when real processes are killed, stopped, paused and cut off; further seeds are played by
// toucanway-lab soak.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "toucanway")
	out, err := exec.Command("go", "build", "-o", program, "toucanway/cmd/toucanway").CombinedOutput()
	require.NoError(t, err, "%s", out)
	seeds := []uint64{1}
	for s := range regressions {
		seeds = append(seeds, s)
	}
	for _, seed := range seeds {
		res, err := Run(t.Context(), Settings{Program: program, Seed: seed, Duration: ciDuration, Out: t.Output()})
		require.NoError(t, err)
		require.Empty(t, res.Violations, "seed %d", seed)
		require.Positive(t, res.Answered)
		t.Logf("seed %d: %d answered, %d not, %d runs", seed, res.Answered, res.Failed, res.Runs)
	}
}
