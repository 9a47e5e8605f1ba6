package soak

import (
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ciDuration is the time in which faults are injected in CI.
const ciDuration = 6 * time.Second

// regressions are seeds that failed before, each with the cause.
var regressions = map[uint64]string{
	438: "the port of a process was in use by an outgoing connection of the previous run",
}

// Guards against processes that can't listen because an outgoing connection of an earlier run occupies their port.
func TestPortsBelowEphemeralRange(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	for seed := range uint64(20) {
		p, err := freePorts(rand.New(rand.NewPCG(seed, 0)))
		require.NoError(t, err)
		for _, port := range []int{p.hosts, p.control, p.directory, p.callers, p.ready} {
			require.GreaterOrEqual(t, port, firstPort)
			require.Less(t, port, firstPort+portCount)
		}
	}
	require.GreaterOrEqual(t, l.Addr().(*net.TCPAddr).Port, firstPort+portCount, "the ports of outgoing connections are above those of processes")
}

// Guards against violations while real processes are killed, stopped, paused and cut off; toucanway-lab soak runs further seeds.
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
