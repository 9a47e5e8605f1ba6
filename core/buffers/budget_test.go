package buffers

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

// Guards against messages without end that take all memory, and against small ones that are given up beside them.
func TestLargestMessageIsGivenUp(t *testing.T) {
	b := &Budget{Limit: 100 << 10}
	var revoked []string
	open := func(name string) *Account { return b.Open(func() { revoked = append(revoked, name) }) }
	small, large, larger := open("small"), open("large"), open("larger")
	require.True(t, large.Add(30<<10))
	require.True(t, larger.Add(60<<10))
	require.True(t, small.Add(20<<10), "it is within the limit once the largest one is gone")
	require.Equal(t, []string{"larger"}, revoked)
	require.True(t, larger.IsRevoked())
	require.False(t, larger.Add(1))
	require.True(t, small.Add(10<<10), "what was given up is no longer counted")
	larger.Close()
	larger.Close()
	size, n := b.Used()
	require.EqualValues(t, 60<<10, size)
	require.EqualValues(t, 1, n)
	require.False(t, large.Add(50<<10), "it is the largest one itself")
	require.Equal(t, []string{"larger"}, revoked, "its owner knows")
	small.Close()
	large.Close()
	size, _ = b.Used()
	require.Zero(t, size)
}

// Guards against a limit that is exceeded without bound while the owners of messages that were given up don't run, and against small messages
// that are given up for it.
func TestHardLimit(t *testing.T) {
	b := &Budget{Limit: 100 << 10}
	for range 50 {
		b.Open(func() {}).Add(30 << 10)
		size, _ := b.Used()
		require.LessOrEqual(t, size, 2*b.Limit)
	}
	for range 50 {
		require.True(t, b.Open(func() { require.Fail(t, "a small message was given up") }).Add(SmallMessage))
	}
}

// Guards against sizes that don't add up when messages grow, shrink and end at once.
func TestAccountsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Limit: fleet.Bytes(rapid.IntRange(1, 200).Draw(t, "limit")) << 10}
		var wg sync.WaitGroup
		for _, sizes := range rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 100), 1, 10), 1, 8).Draw(t, "messages") {
			wg.Go(func() {
				a := b.Open(func() {})
				defer a.Close()
				for _, n := range sizes {
					if !a.SetSize(fleet.Bytes(n) << 10) {
						return
					}
				}
			})
		}
		wg.Wait()
		size, _ := b.Used()
		require.Zero(t, size)
		require.Zero(t, b.revoked)
	})
}
