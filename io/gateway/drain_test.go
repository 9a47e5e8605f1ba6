package gateway

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a shutdown that cuts off requests in flight, and against one that waits for idle connections.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	f.addServer("a", func(req *fasthttp.Request, c net.Conn) {
		<-release
		signedAnswer("late")(req, c)
	})
	idle, err := f.callers.Dial()
	require.NoError(t, err)
	busy := f.begin("a", getRequest("/unsafe/"))
	f.gateway.server.drain()
	f.gateway.server.closeIdle()
	_, err = idle.Read(make([]byte, 1))
	require.Error(t, err)
	close(release)
	var res fasthttp.Response
	require.NoError(t, res.Read(bufio.NewReader(busy)))
	require.Equal(t, "late", string(res.Body()))
	f.gateway.server.wait(t.Context())
}

// Guards against a request that gets no answer because it still waits for a server when the host's grace period is over.
func TestShutdownAnswersWaitingRequests(t *testing.T) {
	f := newFixture(t)
	go func() {
		for {
			f.gateway.view.mu.Lock()
			waiting := len(f.gateway.view.waiting)
			f.gateway.view.mu.Unlock()
			if waiting > 0 {
				f.shutDown()
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	res, err := f.call(getRequest("/unsafe/"))
	require.NoError(t, err)
	require.Equal(t, 503, res.StatusCode())
}
