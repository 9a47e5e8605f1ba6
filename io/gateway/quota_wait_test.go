package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/routes"
)

// Guards against a route all of whose requests under a quota are refused, since its objective is shorter than a call to the leader takes, or
// negative.
func TestQuotaDecisionIsAwaitedForOneCall(t *testing.T) {
	tests := map[string]struct{ objective, left, want time.Duration }{
		"objective longer than a call":   {time.Second, 2 * time.Second, time.Second},
		"objective shorter than a call":  {time.Millisecond, 2 * time.Second, quotaTimeout},
		"objective negative":             {-time.Second, 2 * time.Second, time.Second},
		"no objective":                   {0, 2 * time.Second, time.Second},
		"deadline before the objective":  {time.Second, 500 * time.Millisecond, 500 * time.Millisecond},
		"deadline before the call's end": {time.Millisecond, quotaTimeout / 2, quotaTimeout / 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			x := &exchange{route: &routes.Route{Objective: tt.objective, Timeout: 2 * time.Second}, began: began, deadline: began.Add(tt.left)}
			require.Equal(t, tt.want, x.latestQuotaDecision().Sub(began))
		})
	}
}
