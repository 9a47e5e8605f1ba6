package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against wrong sums after reports are replaced, repeated, reordered or expired.
func TestTableKeepsSums(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tb := New(0)
	m := tb.Declare("m")
	report := func(host fleet.HostID, incarnation fleet.Incarnation, seq uint64, waiting int, timeToDeadline time.Duration) bool {
		return tb.Observe(now, Report{Host: host, Incarnation: incarnation, Seq: seq, Entries: []Entry{
			{Target: fleet.Target{Model: "m"}, Class: fleet.ClassBatch, Region: "r", Waiting: waiting, Running: 1, TimeToDeadline: timeToDeadline},
			{Target: fleet.Target{Model: "m", Adapter: "a"}, Class: fleet.ClassStandard, Region: "r", Waiting: waiting, TimeToDeadline: 2 * timeToDeadline},
			{Target: fleet.Target{Model: "unknown"}, Waiting: 9},
		}})
	}
	require.True(t, report("h1", 1, 1, 2, 30*time.Second))
	require.True(t, report("h2", 1, 5, 1, 20*time.Second))
	m.Update(now, time.Second)
	require.Equal(t, []int{6, 2, 8}, []int{m.Waiting, m.Running, m.Regions["r"]})
	require.Equal(t, 20*time.Second, m.TimeToDeadline)
	require.Equal(t, fleet.ClassStandard, m.Class)
	require.False(t, report("h2", 1, 5, 7, time.Second), "repeated")
	require.False(t, report("h2", 0, 9, 7, time.Second), "earlier incarnation")
	require.True(t, report("h2", 2, 1, 0, 0), "new incarnation")
	now = now.Add(4 * time.Second)
	m.Update(now, time.Second)
	require.Equal(t, []int{4, 2}, []int{m.Waiting, m.Running})
	require.Equal(t, 26*time.Second, m.TimeToDeadline)
	now = now.Add(2 * time.Second)
	tb.Expire(now)
	m.Update(now, time.Second)
	require.False(t, m.Active())
	require.Empty(t, m.Regions)
	require.Equal(t, fleet.Class(fleet.NumClasses), m.Class)
}
