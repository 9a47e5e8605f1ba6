package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/balance"
	"toucanway/core/fleet"
)

// Guards against demand that nobody hears of because the report with it was lost, for example during a change of the leader.
func TestDemandOfLostReportIsReportedAgain(t *testing.T) {
	f := newFixture(t)
	v := f.gateway.view
	r := &balance.Request{Target: fleet.Target{Model: "m"}, Prompt: 100}
	v.recordArrival("s", r)
	v.recordArrival("s", r)
	// The fixture has no control group.
	require.Equal(t, reportRetryDelay, v.sendReport(t.Context()))
	v.recordArrival("s", r)
	req := v.buildReport()
	require.Len(t, req.Demands, 1)
	require.Equal(t, 3, req.Demands[0].Arrivals)
	require.Equal(t, fleet.Tokens(300), req.Demands[0].Prompt)
	require.Empty(t, v.buildReport().Demands)
}
