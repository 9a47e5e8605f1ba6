package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// memoryNetwork is a network that consists of one in-memory listener.
type memoryNetwork struct {
	l *fasthttputil.InmemoryListener
}

func (m memoryNetwork) Listen(string) (net.Listener, error)            { return m.l, nil }
func (m memoryNetwork) Dial(context.Context, string) (net.Conn, error) { return m.l.Dial() }

// serve starts a backend server and returns a pool that connects to it and a function that creates requests.
func serve(t *testing.T, h fasthttp.RequestHandler) (*Pool, func() *fasthttp.Request) {
	l := fasthttputil.NewInmemoryListener()
	done := make(chan error, 1)
	go func() { done <- fasthttp.Serve(l, h) }()
	t.Cleanup(func() {
		l.Close()
		require.NoError(t, <-done)
	})
	return NewPool(memoryNetwork{l}), func() *fasthttp.Request {
		req := &fasthttp.Request{}
		req.SetRequestURI("http://backend/v1/completions")
		return req
	}
}

// Guards against an answer that is delivered in one piece, which would delay the first token until the last one.
func TestExchangeStreamsBody(t *testing.T) {
	next := make(chan struct{})
	pool, req := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for _, part := range []string{"one", "two"} {
				w.WriteString(part)
				w.Flush()
				<-next
			}
		})
	})
	x, err := pool.Do(t.Context(), "b", req(), Options{IdleTimeout: time.Minute})
	require.NoError(t, err)
	buf := make([]byte, 16)
	for _, part := range []string{"one", "two"} {
		n, err := io.ReadAtLeast(x, buf, 3)
		require.NoError(t, err)
		require.Equal(t, part, string(buf[:n]))
		next <- struct{}{}
	}
	_, err = x.Read(buf)
	require.ErrorIs(t, err, io.EOF)
	x.Close()
	require.Len(t, pool.idle["b"], 1)
}

// Guards against reuse of a connection on which part of an answer is unread, which would become part of the next answer.
func TestUnreadExchangeClosesConnection(t *testing.T) {
	pool, req := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.WriteString("answer") })
	x, err := pool.Do(t.Context(), "b", req(), Options{IdleTimeout: time.Minute})
	require.NoError(t, err)
	x.Close()
	require.Empty(t, pool.idle["b"])
}

// Guards against a request that continues after its caller has disconnected.
func TestContextEndClosesConnection(t *testing.T) {
	gone := make(chan struct{})
	pool, req := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer close(gone)
			for w.Flush() == nil {
				if _, err := w.WriteString("token"); err != nil {
					return
				}
			}
		})
	})
	ctx, cancel := context.WithCancel(t.Context())
	x, err := pool.Do(ctx, "b", req(), Options{IdleTimeout: time.Minute})
	require.NoError(t, err)
	cancel()
	<-gone
	_, err = io.Copy(io.Discard, x)
	require.Error(t, err)
	x.Close()
}
