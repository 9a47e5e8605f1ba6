package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/io/backend"
	"toucanway/io/callers"
	"toucanway/io/engines"
	"toucanway/io/follow"
	"toucanway/io/logs"
	"toucanway/io/metrics"
)

// Guards against a refusal that repeats the address or bytes of an engine, which may belong to another caller, and against a log line without them
// or of any length.
func TestRefusalHidesServer(t *testing.T) {
	const ofAnother, address = "secret-of-another", "10.0.0.1:80"
	for name, cause := range map[string]error{
		"lost":     backend.ErrLost.New("backend server at %s sent %s", address, ofAnother),
		"not sent": backend.ErrNotSent.New("cannot connect to backend server at %s: %s", address, ofAnother),
		"failed":   engines.ErrFailed.New("engine at %s answered 500: %s", address, ofAnother),
		"refused":  engines.ErrRefused.New("engine at %s answered 503: %s", address, ofAnother),
		"protocol": engines.ErrProtocol.New("engine at %s sent %s", address, ofAnother+strings.Repeat("x", 10_000)),
	} {
		t.Run(name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			d := New(Settings{Follower: follow.New(follow.Settings{}), Metrics: metrics.New(metrics.Options{}), Log: zap.New(core)})
			now := time.Now()
			a := &answer{
				d: d, ctx: t.Context(), call: &callers.Completion{ID: "r1"}, doc: &config.Document{}, attempts: 1, mayHaveRun: true, deadline: now,
			}
			r := a.prepareRetry(context.Background(), now, cause)
			require.NotNil(t, r)
			require.Equal(t, fleet.CodeBackendFailed, r.Code)
			require.Equal(t, fleet.MayHaveRun, r.Execution)
			require.NotContains(t, r.Message, ofAnother)
			require.NotContains(t, r.Message, address)
			require.Contains(t, r.Message, "send the request again")
			require.Equal(t, 1, lines.FilterMessage(logAttemptFailed).Len())
			fields := lines.All()[0].ContextMap()
			require.Equal(t, "r1", fields["request"])
			require.Contains(t, fields["error"], ofAnother)
			require.LessOrEqual(t, len(fields["error"].(string)), logs.MaxErrorBytes)
		})
	}
}
