package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against an answer to a HEAD request that waits for a body that never comes, and against one with a body, which would be read as the next
// answer on the connection.
func TestHead(t *testing.T) {
	tests := map[string]struct {
		head   string
		status int
		// length is the length that the answer names, -1 for none.
		length int
	}{
		"length":              {"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nContent-Length: 1234\r\n\r\n", 200, 1234},
		"chunks":              {"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n", 200, 0},
		"no length":           {"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\n\r\n", 200, 0},
		"failure":             {"HTTP/1.1 500 Oops\r\nId: 1\r\nSignature: x\r\nContent-Length: 7\r\n\r\n", 500, 7},
		"refusal of the host": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 502, -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addServer("a", func(req *fasthttp.Request, c net.Conn) {
				if req.Header.IsHead() {
					io.WriteString(c, tt.head)
					return
				}
				signedAnswer("next")(req, c)
			})
			c, err := f.callers.Dial()
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetReadDeadline(time.Now().Add(4*time.Second)))
			go fmt.Fprint(c, "HEAD /unsafe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"+getRequest("/unsafe/"))
			r := bufio.NewReader(c)
			var res fasthttp.Response
			res.SkipBody = true
			require.NoError(t, res.Read(r))
			require.Equal(t, tt.status, res.StatusCode())
			if tt.length >= 0 {
				require.Equal(t, tt.length, res.Header.ContentLength())
			}
			var next fasthttp.Response
			require.NoError(t, next.Read(r))
			require.Equal(t, "next", string(next.Body()))
			f.close()
		})
	}
}
