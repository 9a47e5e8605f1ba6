//go:build !race

package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// dialNetwork is a pipeNetwork whose dials after the first call dial.
type dialNetwork struct {
	*pipeNetwork
	dial func(ctx context.Context) (net.Conn, error)
}

func (n dialNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.dials == 0 {
		return n.pipeNetwork.Dial(ctx, address)
	}
	n.dials++
	return n.dial(ctx)
}

// endAfterRequest answers request r1 and ends the connection behind the first bytes of the next request.
func endAfterRequest(_ int, c net.Conn) {
	r := bufio.NewReader(c)
	var req fasthttp.Request
	if req.Read(r) == nil {
		io.WriteString(c, answerTo("r1", "of r1"))
		_, _ = r.Peek(1)
	}
}

func refuseDial(context.Context) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
}

func hangingDial(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// connOf returns a dial whose connection a server runs script on.
func connOf(script func(c net.Conn)) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			script(server)
		}()
		return client, nil
	}
}

// Guards against a request that was written on a kept connection and counts as not sent because of what happens to its repeat: the server
// may have run it, and may have crashed on it.
func TestWrittenRequestCountsAsSent(t *testing.T) {
	withdrawn := func() func() bool {
		calls := 0
		return func() bool { calls++; return calls == 1 }
	}
	tests := map[string]struct {
		dial func(context.Context) (net.Conn, error)
		o    Options
		// body makes the request one whose body is written concurrently with reading the answer.
		body string
		// dials is the number of connections in all.
		dials int
	}{
		"repeat is refused a connection":             {refuseDial, Options{}, "", 2},
		"repeat is refused a connection, long body":  {refuseDial, Options{}, strings.Repeat("x", 2*minConcurrentBody), 2},
		"repeat gets no connection in time":          {hangingDial, Options{}, "", 2},
		"connection of the repeat ends at once":      {connOf(func(net.Conn) {}), Options{}, "", 2},
		"connection of the repeat ends after it":     {connOf(func(c net.Conn) { _, _ = c.Read(make([]byte, 1<<10)) }), Options{}, "", 2},
		"permission ends before the repeat":          {connOf(func(net.Conn) {}), Options{Permitted: withdrawn()}, "", 2},
		"repeat is not allowed":                      {refuseDial, Options{BeforeRepeat: func() bool { return false }}, "", 1},
		"request that must not be repeated":          {refuseDial, Options{NoRetry: true}, "", 1},
		"request that must not be repeated, allowed": {refuseDial, Options{NoRetry: true, BeforeRepeat: func() bool { return true }}, "", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := dialNetwork{&pipeNetwork{script: endAfterRequest}, tt.dial}
				p := NewPool(n)
				defer p.Close()
				_, err := exchange(p, "r1")
				require.NoError(t, err)
				var req fasthttp.Request
				req.SetRequestURI("http://backend/")
				req.Header.Set("Id", "r2")
				req.SetBodyString(tt.body)
				tt.o.IdleTimeout = 5 * time.Second
				_, err = p.Do(t.Context(), "b", &req, tt.o)
				require.Error(t, err)
				require.True(t, errorx.IsOfType(err, ErrLost), "%v", err)
				require.Equal(t, tt.dials, n.dials)
			})
		})
	}
}

// brokenConn is a connection whose writes fail before the first byte.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// Guards against a request that counts as lost, or is charged as a repeat, although no byte of it was written: the kept connection was reset
// before.
func TestUnwrittenRequestIsNotSent(t *testing.T) {
	tests := map[string]struct {
		dial func(context.Context) (net.Conn, error)
		err  bool
	}{
		"next connection answers":           {connOf(func(c net.Conn) { answerEach(func(_ int, id string) string { return answerTo(id, "own") })(1, c) }), false},
		"next connection is refused":        {refuseDial, true},
		"next connection takes no byte":     {func(context.Context) (net.Conn, error) { c, _ := net.Pipe(); return brokenConn{c}, nil }, true},
		"next connection is not made":       {hangingDial, true},
		"next connection is out of reach":   {func(context.Context) (net.Conn, error) { return nil, errors.New("no route to host") }, true},
		"next connection ends before bytes": {connOf(func(net.Conn) {}), true},
	}
	for name, tt := range tests {
		for _, noRetry := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := dialNetwork{&pipeNetwork{script: answerEach(func(_ int, id string) string { return answerTo(id, "own") })}, tt.dial}
					p := NewPool(n)
					defer p.Close()
					_, err := exchange(p, "r1")
					require.NoError(t, err)
					kept := p.idle["b"][0].c
					kept.Conn = brokenConn{kept.Conn}
					var req fasthttp.Request
					req.SetRequestURI("http://backend/")
					req.Header.Set("Id", "r2")
					x, err := p.Do(t.Context(), "b", &req, Options{
						IdleTimeout: 5 * time.Second, NoRetry: noRetry,
						BeforeRepeat: func() bool { t.Error("nothing was sent that could be repeated"); return false },
					})
					require.Equal(t, 2, n.dials)
					require.Equal(t, tt.err, err != nil)
					if err != nil {
						require.True(t, IsNotSent(err), "%v", err)
						return
					}
					x.Abort()
				})
			})
		}
	}
}
