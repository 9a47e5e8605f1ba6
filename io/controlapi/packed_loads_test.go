package controlapi_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/io/controlapi"
)

// Guards against loads that are assigned to another server, or that change by more than the rounding of prompt tokens.
func TestPackedLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[fleet.BackendID]balance.TotalLoad{}
		var s controlapi.PackedLoads
		for i := range rapid.IntRange(0, 200).Draw(t, "servers") {
			id := fleet.BackendID(fmt.Sprintf("i-%d", i))
			sum := balance.TotalLoad{
				Active: rapid.IntRange(0, 5000).Draw(t, "active"), Prompt: fleet.Tokens(rapid.Int64Range(0, 1<<40).Draw(t, "prompt")),
			}
			want[id] = sum
			s = s.Add(id, sum)
		}
		lookUp, err := s.Unpack()
		require.NoError(t, err)
		for id, sum := range want {
			got := lookUp(id)
			require.Equal(t, sum.Active, got.Active)
			require.GreaterOrEqual(t, got.Prompt, sum.Prompt)
			require.Less(t, got.Prompt, sum.Prompt+64)
		}
		require.Zero(t, lookUp("unknown"))
	})
}

// Guards against a crash on truncated loads, and against truncated loads that are accepted as complete.
func TestTruncatedPackedLoads(t *testing.T) {
	s := controlapi.PackedLoads{}.Add("i-1", balance.TotalLoad{Active: 300, Prompt: 70000})
	for n := 1; n < len(s); n++ {
		_, err := s[:n].Unpack()
		require.ErrorContains(t, err, "truncated", "%d bytes", n)
	}
}
