package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/buffers"
)

// endless writes a head and then bytes until the connection is closed.
func endless(head string) script {
	piece := []byte(strings.Repeat("x", 16<<10))
	return func(req *fasthttp.Request, c net.Conn) {
		if _, err := fmt.Fprintf(c, head, req.Header.Peek("Id")); err != nil {
			return
		}
		for {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}
}

// Guards against answers without end, in many connections at once, that take a host over its memory, or sound answers beside them from
// their callers.
func TestAnswersWithoutEndStayWithinTheMemory(t *testing.T) {
	const callers = 24
	tests := map[string]struct{ path, head string }{
		"until the connection ends": {"/unsafe/bad", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\n\r\n"},
		"with a length":             {"/unsafe/bad", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Length: 7000000\r\n\r\n"},
		"failed answer":             {"/safe/bad", "HTTP/1.1 500 Oops\r\nId: %s\r\nSignature: x\r\n\r\n"},
		"event of a stream":         {"/stream/bad", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Type: text/event-stream\r\n\r\ndata: "},
		"head":                      {"/unsafe/bad", "HTTP/1.1 200 OK\r\nId: %s\r\nX-Long: "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &buffers.Budget{Limit: 1 << 20}
			f := newFixtureWith(t, b)
			bad, sound := endless(tt.head), signedAnswer(strings.Repeat("y", 800))
			for i := range 3 {
				f.addServer(fmt.Sprint("s", i), func(req *fasthttp.Request, c net.Conn) {
					if strings.HasSuffix(string(req.URI().Path()), "bad") {
						bad(req, c)
						c.Close()
						return
					}
					sound(req, c)
				})
			}
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					c, err := f.callers.Dial()
					if err != nil {
						return
					}
					defer c.Close()
					// Answers are not bounded by time, since some end with the memory only.
					_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
					_, _ = roundTrip(c, getRequest(tt.path))
				})
			}
			for range 20 {
				res, err := f.call(getRequest("/unsafe/good"))
				require.NoError(t, err)
				require.Equal(t, fasthttp.StatusOK, res.StatusCode())
				size, _ := b.Used()
				require.LessOrEqual(t, size, 2*b.Limit+(callers+1)*buffers.SmallMessage)
			}
			wg.Wait()
			f.close()
			size, revocations := b.Used()
			require.Zero(t, size)
			if name != "head" {
				require.Positive(t, revocations, "answers were given up")
			}
		})
	}
}

// Guards against an answer that is given up without a word to its caller, or with the promise that the request has not run.
func TestAnswerOverMemoryIsRefusedByName(t *testing.T) {
	f := newFixtureWith(t, &buffers.Budget{Limit: 256 << 10})
	f.addServer("a", endless("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\n\r\n"))
	res, err := f.call(getRequest("/unsafe/"))
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusBadGateway, res.StatusCode())
	require.Contains(t, string(res.Body()), "answer-over-memory")
	f.close()
}

// Guards against bodies of requests that take a host over its memory, and against callers that are not told that their request has not run.
func TestRequestsOverMemoryAreRefused(t *testing.T) {
	const callers = 12
	for name, framing := range map[string]string{
		"length": "Content-Length: 400000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n61a80\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := &buffers.Budget{Limit: 1 << 20}
			f := newFixtureWith(t, b)
			f.addServer("a", signedAnswer("x"))
			// A new deadline doesn't end a read under way of an in-memory connection.
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- f.gateway.server.serve(l, ctx) }()
			body := strings.Repeat("x", 300_000)
			var wg sync.WaitGroup
			var mu sync.Mutex
			refused := 0
			var conns []net.Conn
			for range callers {
				c, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				conns = append(conns, c)
				wg.Go(func() {
					go io.WriteString(c, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n"+framing+body)
					res, err := roundTrip(c, "")
					if err != nil {
						// The connection was closed below.
						return
					}
					mu.Lock()
					defer mu.Unlock()
					refused++
					require.Equal(t, fasthttp.StatusServiceUnavailable, res.StatusCode())
					require.Contains(t, string(res.Body()), "host-over-memory")
					require.NotEmpty(t, res.Header.Peek("Retry-After"))
				})
			}
			// The others wait for the rest of their bodies.
			require.Eventually(t, func() bool {
				mu.Lock()
				defer mu.Unlock()
				return refused >= callers-4
			}, 10*time.Second, 10*time.Millisecond)
			size, _ := b.Used()
			require.LessOrEqual(t, size, 2*b.Limit)
			for _, c := range conns {
				c.Close()
			}
			wg.Wait()
			require.Less(t, refused, callers)
			require.Empty(t, f.requests("a"))
			stop()
			l.Close()
			f.close()
			require.NoError(t, <-done)
		})
	}
}
