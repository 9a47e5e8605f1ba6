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
	// readTimeout closes idle connections, including those whose peer was disconnected without a reset.
	readTimeout = 60 * time.Second
	// writeTimeout bounds each write and not the whole answer, since a stream may take any time.
	writeTimeout = 10 * time.Second
)

// FasthttpCleanupTime is how long fasthttp's cleanup goroutines may outlive a server or client. A synctest bubble sleeps
// this long after everything is closed, since it reports goroutines that still sleep at its end as a deadlock.
const FasthttpCleanupTime = 15 * time.Second

// Instance is one run of a simulated backend server's process, from its start to its stop or crash.
type Instance struct {
	ctx        context.Context
	cancel     context.CancelFunc
	listener   *trackedListener
	goroutines errgroup.Group

	incarnation fleet.Incarnation
}

// Listen listens on the address and returns an instance that does not serve yet.
func Listen(n network.Network, address string) (*Instance, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	instance := &Instance{listener: &trackedListener{Listener: l, conns: map[*trackedConn]struct{}{}}}
	instance.ctx, instance.cancel = context.WithCancel(context.Background())
	return instance, nil
}

// Serve serves requests with the handler until Abort.
func (l *Instance) Serve(handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBody,
		ReadTimeout:           readTimeout,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	l.goroutines.Go(func() error { return server.Serve(l.listener) })
}

// Incarnation returns the incarnation of the backend server that this instance is.
func (l *Instance) Incarnation() fleet.Incarnation { return l.incarnation }

// Context returns a context that is cancelled when the instance is aborted.
func (l *Instance) Context() context.Context { return l.ctx }

// Address returns the address that the instance listens on.
func (l *Instance) Address() string { return l.listener.Addr().String() }

// Go runs a function in a goroutine that Wait waits for. The function must return when its context is cancelled.
func (l *Instance) Go(f func(ctx context.Context)) {
	l.goroutines.Go(func() error {
		f(l.ctx)
		return nil
	})
}

// Abort stops the instance like a crash: its connections are reset. It does not wait for goroutines.
func (l *Instance) Abort() {
	l.cancel()
	l.listener.abort()
}

// Wait waits for the goroutines of an aborted instance.
func (l *Instance) Wait() error { return l.goroutines.Wait() }

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// trackedListener keeps its open connections, so that abort can reset them.
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

// Close closes the connection and removes it from the listener.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
