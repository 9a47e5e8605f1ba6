//go:build !race

package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against requests that are cut off without an answer during a planned stop because they arrive while the host closes
// its connections without a request.
func TestRequestThatCrossesTheStop(t *testing.T) {
	tests := map[string]struct {
		// kept is set if the connection has carried a request before, at the time after the idle connections are closed.
		kept bool
		at   time.Duration
	}{
		"kept connection, at once":   {true, 0},
		"kept connection, last time": {true, lastRequestTime - time.Millisecond},
		"new connection, at once":    {false, 0},
		"new connection, last time":  {false, lastRequestTime - time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			startServerDate()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.addServer("a", signedAnswer("x"))
				c, err := f.callers.Dial()
				require.NoError(t, err)
				defer c.Close()
				if tt.kept {
					res, err := roundTrip(c, getRequest("/unsafe/"))
					require.NoError(t, err)
					require.False(t, res.ConnectionClose())
				}
				synctest.Wait()
				f.gateway.server.drain()
				f.gateway.server.closeIdle()
				time.Sleep(tt.at)
				res, err := roundTrip(c, getRequest("/unsafe/"))
				require.NoError(t, err)
				require.Equal(t, fasthttp.StatusOK, res.StatusCode())
				require.True(t, res.ConnectionClose())
				f.gateway.server.wait(t.Context())
				f.close()
			})
		})
	}
}
