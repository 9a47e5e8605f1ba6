package controlscenario

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// leave sends a leave call to any host that acknowledges it.
func leave(t *testing.T, w *simulation, id fleet.BackendID, inc fleet.Incarnation) {
	require.Eventually(t, func() bool {
		for _, h := range w.hosts {
			if h.control != nil && h.control.Leave(context.Background(), id, inc) == nil {
				return true
			}
		}
		return false
	}, 5*time.Second, 50*time.Millisecond)
}

// Guards against controllers that forget an acknowledged departure when all of them are restarted at once, so that gateways send requests
// to a server that has left (rule DRAIN): one that left before the restart and whose last heartbeat arrives late, one that was cut off
// during the restart and leaves before any heartbeat of it has arrived, and one that drains.
func TestDeparturesOutliveARestartOfAllControllers(t *testing.T) {
	drains := func(h registry.Heartbeat) registry.Heartbeat {
		h.Instance.State = registry.Draining
		return h
	}
	tests := map[string]struct {
		before, after func(t *testing.T, w *simulation, id fleet.BackendID, address string)
		// told is the state that gateways hear of, or Ready if they hear nothing.
		told registry.State
	}{
		"left before": {
			before: func(t *testing.T, w *simulation, id fleet.BackendID, _ string) { leave(t, w, id, 5) },
			told:   registry.Gone,
		},
		"left before, late heartbeat": {
			before: func(t *testing.T, w *simulation, id fleet.BackendID, _ string) { leave(t, w, id, 0) },
			after: func(t *testing.T, w *simulation, id fleet.BackendID, address string) {
				sendHeartbeat(t, w, heartbeat(id, 5, 2, address))
			},
			told: registry.Gone,
		},
		"leaves afterwards, not heard of": {
			after: func(t *testing.T, w *simulation, id fleet.BackendID, _ string) { leave(t, w, id, 5) },
			told:  registry.Gone,
		},
		"leaves afterwards, late heartbeat": {
			after: func(t *testing.T, w *simulation, id fleet.BackendID, address string) {
				leave(t, w, id, 5)
				sendHeartbeat(t, w, heartbeat(id, 5, 2, address))
			},
			told: registry.Gone,
		},
		"drains, not heard of": {
			before: func(t *testing.T, w *simulation, id fleet.BackendID, address string) {
				sendHeartbeat(t, w, drains(heartbeat(id, 5, 2, address)))
			},
			told: registry.Draining,
		},
		"drains, late heartbeat": {
			before: func(t *testing.T, w *simulation, id fleet.BackendID, address string) {
				sendHeartbeat(t, w, drains(heartbeat(id, 5, 3, address)))
			},
			after: func(t *testing.T, w *simulation, id fleet.BackendID, address string) {
				sendHeartbeat(t, w, heartbeat(id, 5, 2, address))
			},
			told: registry.Draining,
		},
		"new process": {
			before: func(t *testing.T, w *simulation, id fleet.BackendID, _ string) { leave(t, w, id, 5) },
			after: func(t *testing.T, w *simulation, id fleet.BackendID, address string) {
				sendHeartbeat(t, w, heartbeat(id, 6, 1, address))
			},
			told: registry.Ready,
		},
	}
	for name, tt := range tests {
		for _, n := range []int{3, 5, 9} {
			t.Run(fmt.Sprint(name, ", controllers ", n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := startControllersOf(t, n)
					defer closeAndCheck(t, w)
					const id, address = "srv-7", "10.0.0.7:80"
					sendHeartbeat(t, w, heartbeat(id, 5, 1, address))
					if tt.before != nil {
						tt.before(t, w, id, address)
					}
					restartControllers(t, w)
					if tt.after != nil {
						tt.after(t, w, id, address)
					}
					in, known := readRegistry(t, w)[id]
					require.True(t, known, "gateways hear nothing")
					require.Equal(t, tt.told, in.State)
				})
			})
		}
	}
}

// Guards against a departure that only the host that has acknowledged it knows, and against one that is on record for good.
func TestDeparturesOutliveTheLeaderAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		sendHeartbeat(t, w, heartbeat("a", 5, 1, "10.0.0.1:80"))
		leave(t, w, "a", 5)
		require.NoError(t, killHosts(w, []string{"leader"}, nil))
		require.NoError(t, awaitLead(w, nil, nil))
		sendHeartbeat(t, w, heartbeat("a", 5, 2, "10.0.0.1:80"))
		require.Equal(t, registry.Gone, readRegistry(t, w)["a"].State)
		time.Sleep(3 * registry.DefaultRetention)
		require.NotContains(t, readRegistry(t, w), fleet.BackendID("a"))
		require.Contains(t, w.log.String(), "no longer on record")
	})
}

// Guards against an acknowledgement of a departure that no record can be tied to: the server is not known and names no incarnation.
func TestUnknownServerWithoutIncarnationIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		require.Error(t, w.leader().control.Leave(context.Background(), "a", 0))
		sendHeartbeat(t, w, heartbeat("a", 5, 1, "10.0.0.1:80"))
		require.NoError(t, w.leader().control.Leave(context.Background(), "a", 0))
		require.Equal(t, registry.Gone, readRegistry(t, w)["a"].State)
	})
}
