package holdoff

import (
	"maps"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// epoch is the time at which tests begin.
var epoch = time.Unix(1000, 0)

// stateAt returns the state of a server a duration after epoch.
func (t *Table) stateAt(d time.Duration, id fleet.BackendID, inc fleet.Incarnation) State {
	s, _ := t.State(epoch.Add(d), id, inc)
	return s
}

// Guards against requests to an incarnation that has said that it leaves, and against a restarted server that gets none.
func TestLeavingIncarnation(t *testing.T) {
	leaving := Notice{Leaving: true}
	var table Table
	require.Equal(t, Open, table.stateAt(0, "a", 5))
	require.Equal(t, Change{}, table.Observe(epoch, "a", 5, Notice{}))
	require.Equal(t, Change{Leaving: true}, table.Observe(epoch, "a", 5, leaving))
	require.Equal(t, Change{}, table.Observe(epoch, "a", 5, leaving), "known already")
	table.Observe(epoch, "a", 5, Notice{})
	require.Equal(t, Leaving, table.stateAt(time.Hour, "a", 5), "an answer without the notice revokes nothing")
	require.Equal(t, Open, table.stateAt(0, "b", 5))
	require.Equal(t, Open, table.stateAt(0, "a", 6))
	require.Equal(t, Change{Leaving: true}, table.Observe(epoch, "a", 6, leaving))
	require.Equal(t, Change{}, table.Observe(epoch, "a", 5, leaving), "a late answer of an earlier incarnation")
	require.Equal(t, Leaving, table.stateAt(0, "a", 6))
}

// Guards against a table that grows with each server that ever left, and against one that forgets the newest notices.
func TestTableIsBounded(t *testing.T) {
	var table Table
	for i := range registry.DefaultMaxInstances + 2 {
		table.Observe(epoch, fleet.BackendID(strconv.Itoa(i)), 1, Notice{Leaving: true})
	}
	require.Equal(t, registry.DefaultMaxInstances, table.servers.Len())
	require.Equal(t, Open, table.stateAt(0, "1", 1))
	require.Equal(t, Leaving, table.stateAt(0, "2", 1))
}

// Guards against a pause that ends early: a shorter one must not end it, nor an answer that asks for none, nor a clock that runs
// faster than the server's by the largest clock drift.
func TestPause(t *testing.T) {
	type step struct {
		at     time.Duration
		notice Notice
	}
	pause := func(d time.Duration) Notice { return Notice{Pause: d} }
	tests := map[string]struct {
		answers []step
		// pausedUntil is the time from the first answer to the end of the pause.
		pausedUntil time.Duration
	}{
		"one":                         {[]step{{0, pause(4 * time.Second)}}, 4040 * time.Millisecond},
		"shorter one later":           {[]step{{0, pause(4 * time.Second)}, {time.Second, pause(time.Second)}}, 4040 * time.Millisecond},
		"longer one later":            {[]step{{0, pause(time.Second)}, {500 * time.Millisecond, pause(4 * time.Second)}}, 4540 * time.Millisecond},
		"answer without one":          {[]step{{0, pause(4 * time.Second)}, {time.Second, Notice{}}}, 4040 * time.Millisecond},
		"after another one has ended": {[]step{{0, pause(time.Second)}, {3 * time.Second, pause(time.Second)}}, 4010 * time.Millisecond},
		"longest":                     {[]step{{0, pause(math.MaxInt64)}}, maxPause + maxPause/100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var table Table
			for _, s := range tt.answers {
				table.Observe(epoch.Add(s.at), "a", 5, s.notice)
			}
			state, end := table.State(epoch.Add(tt.pausedUntil-1), "a", 5)
			require.Equal(t, Paused, state)
			require.Equal(t, tt.pausedUntil, end.Sub(epoch))
			require.Equal(t, Open, table.stateAt(tt.pausedUntil, "a", 5))
			require.Equal(t, Open, table.stateAt(0, "a", 6), "restarted")
			require.Equal(t, Open, table.stateAt(0, "b", 5))
		})
	}
}

// Guards against a log line for each rejection of an overloaded server, and against a pause that grows in small steps unnoticed.
func TestGrowthOfAPauseIsReturned(t *testing.T) {
	var table Table
	until := func(at, d time.Duration) time.Duration {
		c := table.Observe(epoch.Add(at), "a", 5, Notice{Pause: d})
		if c.PausedUntil.IsZero() {
			return 0
		}
		return c.PausedUntil.Sub(epoch)
	}
	require.Equal(t, 2020*time.Millisecond, until(0, 2*time.Second))
	require.Zero(t, until(0, time.Second))
	require.Zero(t, until(600*time.Millisecond, 2*time.Second))
	require.Equal(t, 3220*time.Millisecond, until(1200*time.Millisecond, 2*time.Second))
	require.Equal(t, 6010*time.Millisecond, until(5*time.Second, time.Second), "another pause")
}

// Guards against all requests that have waited reaching a server at the end of its pause.
func TestRequestsResumeGradually(t *testing.T) {
	var table Table
	table.Observe(epoch, "a", 5, Notice{Pause: time.Second})
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	begin := func(at time.Duration) { table.Begin(epoch.Add(at), "a", 5) }
	answer := func(at time.Duration, n Notice) Change { return table.Observe(epoch.Add(at), "a", 5, n) }
	require.Equal(t, Change{}, answer(ms(1100), Notice{}), "an answer to a request from before the pause shows nothing")
	begin(ms(1100))
	require.Equal(t, Open, table.stateAt(ms(1100), "a", 5))
	begin(ms(1150))
	state, end := table.State(epoch.Add(ms(1200)), "a", 5)
	require.Equal(t, Resuming, state)
	require.Equal(t, ms(1600), end.Sub(epoch))
	require.Equal(t, Change{Resumed: true}, answer(ms(1200), Notice{}))
	require.Equal(t, Change{}, answer(ms(1200), Notice{}), "it takes requests already")
	for range 4 {
		require.Equal(t, Open, table.stateAt(ms(1250), "a", 5))
		begin(ms(1250))
	}
	require.Equal(t, Resuming, table.stateAt(ms(1250), "a", 5))
	require.Equal(t, Open, table.stateAt(ms(1600), "a", 5))
	for range 10 {
		begin(ms(1600))
		require.Equal(t, Open, table.stateAt(ms(1600), "a", 5))
	}
	require.Equal(t, Change{}, answer(ms(1700), Notice{}))
	// The pause begins again if the first requests are turned away.
	answer(ms(2000), Notice{Pause: time.Second})
	begin(ms(3100))
	answer(ms(3200), Notice{Pause: time.Second})
	require.Equal(t, Paused, table.stateAt(ms(3800), "a", 5))
	require.Equal(t, Open, table.stateAt(ms(4210), "a", 5))
}

// Guards against callers that are told to come back before any server takes them, or all at the same time.
func TestReturnDelay(t *testing.T) {
	tests := map[string]struct {
		wait              time.Duration
		earliest, longest time.Duration
	}{
		"none":       {0, 0, 500 * time.Millisecond},
		"negative":   {-time.Second, 0, 500 * time.Millisecond},
		"short":      {time.Second, time.Second, 1500 * time.Millisecond},
		"long":       {20 * time.Second, 20 * time.Second, 25 * time.Second},
		"very long":  {time.Hour, time.Minute, 75 * time.Second},
		"whole life": {math.MaxInt64, time.Minute, 75 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.earliest, ReturnDelay(tt.wait, 0))
			require.InDelta(t, tt.longest, ReturnDelay(tt.wait, math.Nextafter(1, 0)), float64(time.Microsecond))
		})
	}
}

// Guards against a paused server that is left out, or one that is listed although it takes requests again or leaves.
func TestPausedServers(t *testing.T) {
	var table Table
	table.Observe(epoch, "short", 1, Notice{Pause: time.Second})
	table.Observe(epoch, "long", 2, Notice{Pause: time.Minute})
	table.Observe(epoch, "leaving", 3, Notice{Leaving: true, Pause: time.Minute})
	at := epoch.Add(10 * time.Second)
	_, until := table.State(at, "long", 2)
	require.Equal(t, map[fleet.BackendIncarnation]time.Time{{Backend: "long", Incarnation: 2}: until}, maps.Collect(table.Paused(at)))
}
