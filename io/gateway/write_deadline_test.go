//go:build !race

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against the deadline of an earlier write that ends a later one: the end of a stream that comes long after its last event, an event
// behind a long gap, and what is written on a connection after a long idle time.
func TestWritesLongAfterEarlierOnes(t *testing.T) {
	const (
		pause   = 2 * writeTimeout
		timeout = 6 * writeTimeout
	)
	// stream writes an event and, each after a pause, pieces.
	stream := func(head string, pieces ...string) script {
		return func(_ *fasthttp.Request, c net.Conn) {
			io.WriteString(c, head)
			for _, piece := range pieces {
				time.Sleep(pause)
				io.WriteString(c, piece)
			}
		}
	}
	endsWithConnection := func(_ *fasthttp.Request, c net.Conn) {
		io.WriteString(c, untilCloseHead+event(1))
		time.Sleep(pause)
		c.Close()
	}
	const upload = "POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n"
	tests := map[string]struct {
		server script
		// request is sent a pause after an earlier answer on the connection.
		request, want string
		// interim is set if the request waits for an interim answer before its body.
		interim bool
	}{
		"end of a stream":           {stream(streamHead+chunk(event(1)), "0\r\n\r\n"), getRequest("/stream/"), event(1), false},
		"end with the connection":   {endsWithConnection, getRequest("/stream/"), event(1), false},
		"event behind a gap":        {stream(streamHead+chunk(event(1)), chunk(event(2)), "0\r\n\r\n"), getRequest("/stream/"), event(1) + event(2), false},
		"stream that begins late":   {stream("", streamHead+chunk(event(1))+"0\r\n\r\n"), getRequest("/stream/"), event(1), false},
		"interim answer":            {signedAnswer("x"), fmt.Sprintf(upload, "/safe/"), "x", true},
		"end behind interim answer": {stream(streamHead+chunk(event(1)), "0\r\n\r\n"), fmt.Sprintf(upload, "/stream/"), event(1), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			startServerDate()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.addServer("a", func(req *fasthttp.Request, c net.Conn) {
					if string(req.Header.RequestURI()) == "/safe/first" {
						signedAnswer("first")(req, c)
						return
					}
					tt.server(req, c)
				})
				v := f.gateway.view
				v.mu.Lock()
				for i := range v.table.Configuration.Routes {
					v.table.Configuration.Routes[i].Timeout = timeout
				}
				v.mu.Unlock()
				c, err := f.callers.Dial()
				require.NoError(t, err)
				defer c.Close()
				_, err = roundTrip(c, getRequest("/safe/first"))
				require.NoError(t, err)
				time.Sleep(pause)
				r := bufio.NewReader(c)
				go io.WriteString(c, tt.request)
				if tt.interim {
					line, err := r.ReadString('\n')
					require.NoError(t, err)
					require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
					_, err = r.Discard(2)
					require.NoError(t, err)
					go fmt.Fprint(c, "y")
				}
				var res fasthttp.Response
				res.StreamBody = true
				require.NoError(t, res.ReadLimitBody(r, 0))
				body := res.Body()
				if res.BodyStream() != nil {
					body, err = io.ReadAll(res.BodyStream())
					require.NoError(t, err)
				}
				require.Equal(t, tt.want, string(body))
				f.close()
			})
		})
	}
}
