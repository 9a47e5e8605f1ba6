package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/io/hosts"
)

// Guards against a watch from the start that leaves out changes that are still kept, or that asks for ones that are not.
func TestOldestRecent(t *testing.T) {
	f := New(Settings{Seed: 1})
	require.Zero(t, f.OldestRecent())
	for i := fleet.Index(7); i <= 9; i++ {
		f.keepEntry(hosts.LogEntry{Index: i})
	}
	require.Equal(t, fleet.Index(6), f.OldestRecent())
	for i := fleet.Index(10); i < 10+2*minRecentEntries; i++ {
		f.keepEntry(hosts.LogEntry{Index: i})
	}
	require.Equal(t, f.recentEntries[0].Index-1, f.OldestRecent())
	require.Greater(t, f.OldestRecent(), fleet.Index(6))
}
