package ratelimit

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// epoch is the time at which tests begin.
var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

var server = fleet.BackendIncarnation{Backend: "a", Incarnation: 5}

// Guards against a limit that is forgotten before the leader knows it, or ended by an answer from before it.
func TestNotices(t *testing.T) {
	none, two, three := fleet.RateLimit{}, fleet.NewRateLimit(2), fleet.NewRateLimit(3)
	var n Notices
	require.False(t, n.Observe(at(0), at(-100), server, none, none), "no limit was known")
	require.Equal(t, none, n.Limit(server, none))

	require.True(t, n.Observe(at(10), at(0), server, two, none))
	require.False(t, n.Observe(at(20), at(15), server, two, none), "known already")
	require.Equal(t, two, n.Limit(server, none))
	require.Equal(t, map[fleet.BackendIncarnation]Notice{server: {Limit: two, At: at(10)}}, maps.Collect(n.All()))

	require.False(t, n.Observe(at(30), at(5), server, none, none), "sent before the server named its limit")
	require.Equal(t, two, n.Limit(server, none))
	n.Told(server, none)
	require.Equal(t, two, n.Limit(server, none), "the leader knows nothing yet")
	n.Told(server, two)
	require.Empty(t, maps.Collect(n.All()))
	require.Equal(t, two, n.Limit(server, two))

	require.True(t, n.Observe(at(60), at(50), server, three, two), "another limit")
	require.Equal(t, three, n.Limit(server, two))
	n.Told(server, three)

	require.True(t, n.Observe(at(80), at(70), server, none, three))
	require.False(t, n.Observe(at(90), at(85), server, none, three))
	require.Equal(t, three, n.Limit(server, three), "the leader decides about the end")
	require.Equal(t, map[fleet.BackendIncarnation]Notice{server: {Limit: none, At: at(85)}}, maps.Collect(n.All()))
	n.Told(server, none)
	require.Empty(t, maps.Collect(n.All()))
}

// Guards against a limit that a restarted server inherits.
func TestNoticesOfIncarnations(t *testing.T) {
	two := fleet.NewRateLimit(2)
	next := fleet.BackendIncarnation{Backend: "a", Incarnation: 6}
	var n Notices
	require.True(t, n.Observe(at(0), at(0), server, two, fleet.RateLimit{}))
	require.Equal(t, fleet.RateLimit{}, n.Limit(next, fleet.RateLimit{}))
	require.True(t, n.Observe(at(1), at(0), next, two, fleet.RateLimit{}))
	require.Equal(t, map[fleet.BackendIncarnation]Notice{next: {Limit: two, At: at(1)}}, maps.Collect(n.All()))
}

// Guards against a limit that is forgotten since a new leader doesn't know it, and against an old limit that replaces what a server has said
// since.
func TestKeptNotices(t *testing.T) {
	none, two, three := fleet.RateLimit{}, fleet.NewRateLimit(2), fleet.NewRateLimit(3)
	tests := map[string]struct {
		after func(n *Notices)
		limit fleet.RateLimit
		// reported is what the leader has yet to hear; nil for nothing.
		reported map[fleet.BackendIncarnation]Notice
	}{
		"the leader doesn't know it":   {func(n *Notices) { n.Told(server, none) }, two, map[fleet.BackendIncarnation]Notice{server: {two, at(10), true}}},
		"the leader knows it":          {func(n *Notices) { n.Told(server, two) }, none, map[fleet.BackendIncarnation]Notice{}},
		"the leader knows a newer one": {func(n *Notices) { n.Told(server, three) }, none, map[fleet.BackendIncarnation]Notice{}},
		"another limit since": {
			func(n *Notices) { n.Observe(at(30), at(20), server, three, none) }, three, map[fleet.BackendIncarnation]Notice{server: {Limit: three, At: at(30)}},
		},
		"ended since": {
			func(n *Notices) { n.Observe(at(30), at(20), server, none, none) }, none, map[fleet.BackendIncarnation]Notice{server: {Limit: none, At: at(20)}},
		},
		"answered before": {
			func(n *Notices) { n.Observe(at(30), at(5), server, none, none) }, two, map[fleet.BackendIncarnation]Notice{server: {two, at(10), true}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var n Notices
			n.Keep(at(10), server, none)
			require.Empty(t, maps.Collect(n.All()))
			n.Keep(at(10), server, two)
			tt.after(&n)
			require.Equal(t, tt.limit, n.Limit(server, none))
			require.Equal(t, tt.reported, maps.Collect(n.All()))
			before := maps.Collect(n.All())
			if len(before) > 0 {
				n.Keep(at(40), server, fleet.NewRateLimit(9))
				require.Equal(t, before, maps.Collect(n.All()), "what is known replaces nothing newer")
			}
		})
	}
}
