package affinity

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against a stream whose origin is forgotten while its caller may take it up, and against a table that grows without bound.
func TestTable(t *testing.T) {
	epoch := time.Unix(1000, 0)
	var table Table
	_, ok := table.Find(epoch, "a")
	require.False(t, ok)
	table.Add(epoch, "a", Origin{"s", "v1"})
	table.Add(epoch.Add(time.Second), "b", Origin{"s", "v2"})
	table.Add(epoch.Add(2*time.Second), "a", Origin{"s", "v3"})
	o, ok := table.Find(epoch.Add(2*time.Second+Retention), "a")
	require.True(t, ok)
	require.Equal(t, Origin{"s", "v3"}, o)
	_, ok = table.Find(epoch.Add(2*time.Second+Retention), "b")
	require.False(t, ok, "too old")
	table.Add(epoch.Add(2*time.Second+Retention), "c", Origin{})
	require.Len(t, table.streams, 2)
	for i := range maxStreams + 10 {
		table.Add(epoch.Add(3*time.Second+Retention), fleet.RequestID(strconv.Itoa(i)), Origin{"s", "v1"})
	}
	require.Len(t, table.streams, maxStreams)
	require.Equal(t, maxStreams, table.byAge.Len())
	_, ok = table.Find(epoch.Add(3*time.Second+Retention), fleet.RequestID(strconv.Itoa(maxStreams+9)))
	require.True(t, ok)
}

// Guards against gateways that look for a stream where it was not recorded, in another order of the members or after one was replaced, and
// against one member that holds all streams.
func TestHolders(t *testing.T) {
	members := []fleet.HostID{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"}
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	replaced := append(slices.Clone(members[:4]), "10.0.0.9")
	held := map[fleet.HostID]int{}
	for i := range 1000 {
		id := fleet.RequestID(fmt.Sprint("r", i))
		holders := Holders(id, members)
		require.Len(t, holders, 3)
		require.Equal(t, holders, Holders(id, reversed))
		common := 0
		for _, h := range holders {
			held[h]++
			if slices.Contains(Holders(id, replaced), h) {
				common++
			}
		}
		require.GreaterOrEqual(t, common, 2)
	}
	for _, h := range members {
		require.InDelta(t, 600, held[h], 100)
	}
	require.Equal(t, []fleet.HostID{"10.0.0.1"}, Holders("x", members[:1]))
	require.Empty(t, Holders("x", nil))
}
