package relayload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against Follow calls that cause more traffic on a host than the limit for all control traffic, 2,000 bytes per second,
// and against relays that don't reduce the traffic of the leader.
func TestRelayReducesTraffic(t *testing.T) {
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
