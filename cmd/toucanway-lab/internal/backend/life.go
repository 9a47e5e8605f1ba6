package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/io/network"
)

const (
	maxBody = 8 << 20
	// readTimeout ends connections that nobody uses, also those whose peer was cut off silently.
	readTimeout = 60 * time.Second
	// writeTimeout bounds each write, since a stream as a whole may take any time.
	writeTimeout = 10 * time.Second
)

// Settle is how long fasthttp's cleaner goroutines may outlive a server or client. A synctest bubble sleeps this long
// after everything is closed, since it counts sleeping goroutines that remain at its end as a deadlock.
const Settle = 15 * time.Second

// Life is one run of a backend server's process, from its start to its end.
type Life struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener *trackedListener
	group    errgroup.Group

	incarnation fleet.Incarnation
}

// Begin listens on the address.
func Begin(n network.Network, address string) (*Life, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	life := &Life{listener: &trackedListener{Listener: l, conns: map[*trackedConn]struct{}{}}}
	life.ctx, life.cancel = context.WithCancel(context.Background())
	return life, nil
}

// Serve answers requests with the handler until Abort.
func (l *Life) Serve(handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBody,
		ReadTimeout:           readTimeout,
		CloseOnShutdown:       true,
		Logger:                silent{},
	}
	l.group.Go(func() error { return server.Serve(l.listener) })
}

// Incarnation returns the incarnation of the backend server in this life.
func (l *Life) Incarnation() fleet.Incarnation { return l.incarnation }

// Context ends with the life.
func (l *Life) Context() context.Context { return l.ctx }

// Address returns the address that the life listens on.
func (l *Life) Address() string { return l.listener.Addr().String() }

// Go runs a function that ends with the context of the life.
func (l *Life) Go(f func(ctx context.Context)) {
	l.group.Go(func() error {
		f(l.ctx)
		return nil
	})
}

// Abort ends the life as a crash does: connections are reset. It does not wait.
func (l *Life) Abort() {
	l.cancel()
	l.listener.abort()
}

// Wait waits for the goroutines of an aborted life.
func (l *Life) Wait() error { return l.group.Wait() }

type silent struct{}

func (silent) Printf(string, ...any) {}

// trackedListener knows its open connections, so that they can be reset.
type trackedListener struct {
	net.Listener

	mu      sync.Mutex
	conns   map[*trackedConn]struct{}
	aborted bool
}

// Accept waits for the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.conns[t] = struct{}{}
	return t, nil
}

func (l *trackedListener) abort() {
	l.mu.Lock()
	l.aborted = true
	conns := l.conns
	l.conns = map[*trackedConn]struct{}{}
	l.mu.Unlock()
	_ = l.Listener.Close()
	for c := range conns {
		if r, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
			_ = r.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Write writes within the write timeout.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
