package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against a new leader that takes a late heartbeat of a server that drains or has left for that of a new one.
func TestDepart(t *testing.T) {
	now := time.Unix(1000, 0)
	gone := Instance{ID: "a", Incarnation: 5, State: Gone}
	drains := heartbeat("a", 5, 0, draining).Instance
	tests := map[string]struct {
		before  []Heartbeat
		depart  Instance
		changed bool
		after   Heartbeat
		verdict Verdict
		state   State
	}{
		"gone, unknown":                     {nil, gone, true, heartbeat("a", 5, 7), Outdated, Gone},
		"gone, unknown, then restarted":     {nil, gone, true, heartbeat("a", 6, 1), Changed, Ready},
		"gone, unknown, earlier process":    {nil, gone, true, heartbeat("a", 4, 1), Outdated, Gone},
		"gone, ready before":                {[]Heartbeat{heartbeat("a", 5, 1)}, gone, true, heartbeat("a", 5, 2), Outdated, Gone},
		"gone, earlier process known":       {[]Heartbeat{heartbeat("a", 4, 1)}, gone, true, heartbeat("a", 5, 2), Outdated, Gone},
		"gone, later process known":         {[]Heartbeat{heartbeat("a", 6, 1)}, gone, false, heartbeat("a", 5, 2), Outdated, Ready},
		"draining, unknown":                 {nil, drains, true, heartbeat("a", 5, 7), Unchanged, Draining},
		"draining, ready before":            {[]Heartbeat{heartbeat("a", 5, 1)}, drains, true, heartbeat("a", 5, 2), Unchanged, Draining},
		"draining, known already":           {[]Heartbeat{heartbeat("a", 5, 1, draining)}, drains, false, heartbeat("a", 5, 2), Unchanged, Draining},
		"draining, address taken meanwhile": {[]Heartbeat{heartbeat("b", 6, 1)}, drains, true, heartbeat("a", 5, 2), Outdated, Gone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			for _, h := range tt.before {
				r.Observe(now, h)
			}
			seen := r.Revision()
			require.Equal(t, tt.changed, r.Depart(now, tt.depart))
			require.Equal(t, tt.changed, len(r.ChangedAfter(seen)) > 0, "followers hear of it")
			require.Equal(t, tt.verdict, r.Observe(now, tt.after))
			in, _, ok := r.Get("a")
			require.True(t, ok)
			require.Equal(t, tt.state, in.State)
		})
	}
}

// Guards against a departure that displaces the server which has taken its address, and against one that stays on record for good.
func TestDepartLeavesOthersAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{Retention: time.Minute, MaxInstances: 2})
	r.Observe(now, heartbeat("b", 4, 1))
	require.True(t, r.Depart(now, Instance{ID: "a", Incarnation: 5, Address: "10.0.0.1:80", State: Gone}))
	in, _, _ := r.Get("b")
	require.Equal(t, Ready, in.State)
	require.False(t, r.Depart(now, Instance{ID: "c", Incarnation: 5, State: Gone}), "there is no room")
	r.Tick(now.Add(2 * time.Minute))
	for _, id := range []fleet.BackendID{"a", "b"} {
		_, _, ok := r.Get(id)
		require.False(t, ok)
	}
}
