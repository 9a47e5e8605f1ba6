//go:build !race

package gateway

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against requests that reach a server so late in a planned stop that they are cut before their answer (rule LOST), among them
// ones that may not be repeated.
func TestRequestLateInTheStop(t *testing.T) {
	const serviceTime = time.Second
	tests := map[string]struct {
		// bodyAt is the time after the request to stop at which the body is complete, serverAt the one at which a server can take
		// the request. The grace period is 4 s, the last 1 s of which is reserved.
		bodyAt, serverAt time.Duration
		status           int
	}{
		"in time":                 {1200 * time.Millisecond, 0, 200},
		"body comes late":         {2800 * time.Millisecond, 0, 503},
		"body comes later":        {2100 * time.Millisecond, 0, 503},
		"waits for a server":      {500 * time.Millisecond, 1700 * time.Millisecond, 200},
		"waits for a server late": {500 * time.Millisecond, 2700 * time.Millisecond, 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				serve := func(req *fasthttp.Request, c net.Conn) {
					time.Sleep(serviceTime)
					signedAnswer("x")(req, c)
				}
				if tt.serverAt == 0 {
					f.addServer("a", serve)
				}
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					f.gateway.drain(f.callers, f.shutDown)
				}()
				c, err := f.callers.Dial()
				require.NoError(t, err)
				defer c.Close()
				go func() {
					fmt.Fprint(c, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 4\r\n\r\nbod")
					time.Sleep(tt.bodyAt)
					io.WriteString(c, "y")
				}()
				if tt.serverAt > 0 {
					time.AfterFunc(tt.serverAt, func() {
						f.addServer("a", serve)
						f.gateway.view.mu.Lock()
						f.gateway.view.notifyChanged()
						f.gateway.view.mu.Unlock()
					})
				}
				res, err := roundTrip(c, "")
				require.NoError(t, err)
				require.Equal(t, tt.status, res.StatusCode())
				require.Equal(t, tt.status == fasthttp.StatusOK, len(f.requests("a")) > 0)
				<-stopped
			})
		})
	}
}
