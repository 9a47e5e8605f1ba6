package controlscenario

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/script"
	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Each script of testdata guards against the failure that its first lines name.
func TestScenarios(t *testing.T) {
	script.ForEach(t, func(t *testing.T, file string) {
		synctest.Test(t, func(t *testing.T) {
			w := newSimulation()
			defer closeAndCheck(t, w)
			cmds := map[string]script.Command{}
			for name, c := range commands() {
				cmds[name] = func(_ *testscript.TestScript, words []string) error {
					args, opt := script.Parse(words)
					return c(w, args, opt)
				}
			}
			script.Run(t, file, cmds)
		})
	})
}

// closeAndCheck ends the simulation and checks the invariants. If the test failed, it prints the hosts' states and logs.
func closeAndCheck(t *testing.T, w *simulation) {
	if t.Failed() {
		for _, h := range w.hosts {
			if h.group != nil {
				t.Logf("%s: %+v", h.name, h.group.Status())
			}
		}
	}
	violations, err := w.close()
	if len(violations) > 0 || err != nil || t.Failed() {
		t.Log(w.log.String())
	}
	require.NoError(t, err)
	require.Empty(t, violations)
}

// Guards against a second group, a lost acknowledged change or a stale read under random kills, cuts, lost disks and restarts
// with random hosts as seeds. At most one disk is lost at a time.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation()
				defer closeAndCheck(t, w)
				r := rand.New(rand.NewPCG(seed, 3))
				require.NoError(t, form(w, []string{"5"}, map[string]string{"seeds": "h1,h2,h3"}))
				require.NoError(t, awaitVoters(w, []string{"5"}, nil))
				version := routes.Version(0)
				for range 40 {
					randomFault(t, w, r)
					for range 3 {
						h := w.hosts[r.IntN(len(w.hosts))]
						version++
						// Errors are expected: a host that is down or cut off acknowledges nothing.
						_ = w.submit(h, version)
						_, _ = w.read(w.hosts[r.IntN(len(w.hosts))])
						time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
					}
				}
				w.net.RestoreAll()
				for _, h := range w.hosts {
					if h.group == nil {
						require.NoError(t, w.start(h, false))
					}
				}
				require.NoError(t, awaitVoters(w, []string{"5"}, nil))
				require.NoError(t, read(w, []string{"all"}, nil))
				require.Positive(t, w.acknowledged)
			})
		})
	}
}

// randomFault injects or ends one random fault. Disks are lost only while all other hosts run and are connected.
func randomFault(t *testing.T, w *simulation, r *rand.Rand) {
	h := w.hosts[r.IntN(len(w.hosts))]
	switch r.IntN(6) {
	case 0:
		if h.group != nil {
			require.NoError(t, w.kill(h))
		}
	case 1, 2:
		for _, h := range w.hosts {
			if h.group == nil {
				h.seeds = []fleet.HostID{w.hosts[r.IntN(len(w.hosts))].ip, w.hosts[r.IntN(len(w.hosts))].ip}
				require.NoError(t, w.start(h, false))
			}
		}
	case 3:
		w.net.Isolate(string(h.ip))
	case 4:
		w.net.RestoreAll()
	case 5:
		w.net.RestoreAll()
		for _, o := range w.hosts {
			if o.group == nil {
				require.NoError(t, w.start(o, false))
			}
		}
		require.NoError(t, awaitVoters(w, []string{"5"}, nil))
		require.NoError(t, w.kill(h))
		w.wipe(h)
		require.NoError(t, w.start(h, false))
		require.NoError(t, awaitVoters(w, []string{"5"}, map[string]string{"has": h.name}))
	}
}
