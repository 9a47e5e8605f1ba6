package controlscenario

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// handoverSeeds is the number of seeds of TestHandoverWithPauses; more are played by hand.
var handoverSeeds = flag.Uint64("handover-seeds", 8, "number of random hand-overs to play")

// setPause makes each further order stand still for the returned time while its connection is opened.
func (e *engines) setPause(pause func() time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = pause
}

// pausedOrders returns the number of orders that stood still.
func (e *engines) pausedOrders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused
}

// demandUntil keeps engine a alive and lets requests wait for both models until the condition holds.
func demandUntil(t *testing.T, w *simulation, done func() bool) {
	for range 40 {
		sendHeartbeat(t, w, heartbeat("a", 5, uint64(time.Now().UnixMilli()), "10.0.0.1:80"))
		reportDemand(w, "m0")
		reportDemand(w, "m1")
		if done() {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	require.FailNow(t, "the condition did not come about")
}

// Guards against an order that a host writes after its permission has ended: it checks that it leads, stands still for some
// seconds, and goes on while another host already orders the same engine.
func TestOrderPausedBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		const pause = 12 * time.Second
		w.engines.setPause(func() time.Duration { return pause })
		demandUntil(t, w, func() bool { return w.engines.pausedOrders() > 0 })
		w.engines.setPause(nil)
		held := time.Now()
		old := w.leader()
		require.NoError(t, isolateHosts(w, []string{old.name}, nil))
		demandUntil(t, w, func() bool { l := w.leader(); return l != nil && l != old })
		demandUntil(t, w, func() bool { n, _ := w.engines.orders("a"); return n > 0 })
		w.net.RestoreAll()
		time.Sleep(time.Until(held.Add(pause + time.Second)))
	})
}

// Guards against two hosts that order the same engine within the hand-over time, or with tokens that go back, while leaders are
// cut off, killed and restarted and any order stands still for up to several seconds before it is written.
func TestHandoverWithPauses(t *testing.T) {
	for seed := range *handoverSeeds {
		synctest.Test(t, func(t *testing.T) {
			t.Logf("seed %d", seed)
			rnd := rand.New(rand.NewPCG(seed, 5))
			w := startControllers(t)
			defer closeAndCheck(t, w)
			w.engines.setPause(func() time.Duration {
				if rnd.IntN(3) == 0 {
					return time.Duration(rnd.IntN(8000)) * time.Millisecond
				}
				return time.Duration(rnd.IntN(60)) * time.Millisecond
			})
			down := ""
			for range 14 {
				for range rnd.IntN(6) {
					reportDemand(w, models[rnd.IntN(2)].Name)
					for _, h := range w.hosts {
						if h.control == nil {
							continue
						}
						// A host without contact to the leader refuses; the next heartbeat is sent to another one.
						if _, err := h.control.Heartbeat(t.Context(), heartbeat("a", 5, uint64(time.Now().UnixMilli()), "10.0.0.1:80")); err == nil {
							break
						}
					}
					time.Sleep(time.Duration(rnd.IntN(900)) * time.Millisecond)
				}
				l := w.leader()
				switch n := rnd.IntN(5); {
				case n == 0 && l != nil:
					require.NoError(t, isolateHosts(w, []string{l.name}, nil))
				case n == 1 && l != nil && down == "":
					down = l.name
					require.NoError(t, killHosts(w, []string{down}, nil))
				case n == 2 && down != "":
					require.NoError(t, startHosts(w, []string{down}, nil))
					down = ""
				case n == 3:
					w.net.RestoreAll()
				}
			}
			w.net.RestoreAll()
			if down != "" {
				require.NoError(t, startHosts(w, []string{down}, nil))
			}
			time.Sleep(10 * time.Second)
		})
	}
}
