package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Guards against a data race between the start of a stall watch and its timer, which goes on because no other server can take the
// request. It uses real time, since the race detector does not work with synthetic time.
func TestStallTimerWithoutRace(t *testing.T) {
	x := &exchange{
		proxy: &proxy{view: newView(Settings{})}, ctx: t.Context(),
		route:        &routes.Route{Resumable: true, MaxAttempts: 3},
		triedServers: map[fleet.BackendID]bool{},
	}
	ctx, end := context.WithCancelCause(t.Context())
	stop := x.watchStall("a", end)
	time.Sleep(minStreamWait/stallShare + 100*time.Millisecond)
	require.NoError(t, context.Cause(ctx), "the attempt goes on")
	stop(false)
}
