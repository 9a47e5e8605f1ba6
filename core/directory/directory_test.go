package directory

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against a burst that falls on a few hosts while others are idle, and against a number of hosts that follows each peak.
func TestSizeFollowsLoad(t *testing.T) {
	var s Size
	require.Equal(t, MinHosts, s.Hosts())
	require.False(t, s.Update(MinHosts*requestsPerHost))
	require.True(t, s.Update(1000))
	require.GreaterOrEqual(t, s.Hosts()*requestsPerHost, 1000)
	many := s.Hosts()
	require.False(t, s.Update(many*requestsPerHost/2), "half of the load changes nothing")
	for range 20 {
		s.Update(0)
	}
	require.Equal(t, MinHosts, s.Hosts())
	require.True(t, s.Update(1<<30))
}

// Guards against controllers that name different hosts, and against callers that have to move because another host was lost.
func TestChooseIsStable(t *testing.T) {
	id := func(h fleet.HostID) fleet.HostID { return h }
	var hosts []fleet.HostID
	for i := range 50 {
		hosts = append(hosts, fleet.HostID(fmt.Sprintf("10.0.0.%d", i)))
	}
	first := Choose(hosts, MinHosts, id)
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	require.Equal(t, first, Choose(reversed, MinHosts, id))
	left := slices.DeleteFunc(slices.Clone(hosts), func(h fleet.HostID) bool { return h == first[2] })
	require.Subset(t, Choose(left, MinHosts, id), slices.Delete(slices.Clone(first), 2, 3))
	require.Len(t, Choose(left, MinHosts, id), MinHosts)
	require.Equal(t, hosts[:3], Choose(hosts[:3], MinHosts, id))
}
