package relayload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against traffic of Follow on a host above the share of all control traffic, and relays that don't relieve the
// leader.
func TestCompute(t *testing.T) {
	for _, n := range []int{9, 100, 1300} {
		r, err := Compute(n)
		require.NoError(t, err)
		t.Logf("%+v", r)
		require.Less(t, r.Relayed.Host, 2000.0)
		if n > 64 {
			require.Less(t, r.Relayed.Leader, r.Direct.Leader)
		}
	}
}
