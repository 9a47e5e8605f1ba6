package membershipload

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against control traffic above TrafficLimit, and against a call rate per host that grows with the number of hosts.
func TestTrafficIsBounded(t *testing.T) {
	small, err := Measure(9, seed)
	require.NoError(t, err)
	large, err := Measure(100, seed)
	require.NoError(t, err)
	t.Logf("%+v\n%+v", small, large)
	for _, r := range []Result{small, large} {
		require.Less(t, r.WireBytes, float64(TrafficLimit))
		require.Zero(t, r.WrongDeaths)
	}
	require.InEpsilon(t, small.Calls, large.Calls, 0.1, "one probe a second at any size")
}

func BenchmarkMeasure(b *testing.B) {
	for _, hosts := range []int{9, 100, 300, 1300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				r, err := Measure(hosts, seed)
				require.NoError(b, err)
				b.ReportMetric(r.WireBytes, "wire-B/host/s")
				b.ReportMetric(r.MessageBytes, "message-B/host/s")
				b.ReportMetric(r.Last.Seconds(), "s/detection")
				b.Logf("%+v", r)
			}
		})
	}
}
