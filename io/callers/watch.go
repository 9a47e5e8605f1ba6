package callers

import (
	"context"
	"net"
	"sync"
	"time"
)

// watchedConn is a caller's connection. While a request is served, the connection is read in the background, so that a disconnect
// is detected before the answer is written. Each write has its own deadline, so that a caller that stops reading cannot occupy a
// stream for ever.
type watchedConn struct {
	net.Conn
	writeTimeout time.Duration

	mu      sync.Mutex
	pending []byte
	readErr error
}

// Read returns the byte that the background read received, if any, before it reads from the connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.pending) > 0 && len(p) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		c.mu.Unlock()
		return n, nil
	}
	if err := c.readErr; err != nil {
		c.mu.Unlock()
		return 0, err
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Write writes with the write timeout, which restarts with each write.
func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// watch starts the background read and returns a context that ends when the caller disconnects.
func (c *watchedConn) watch(parent context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(parent)
	done := make(chan struct{})
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		cancel()
	}
	go func() {
		defer close(done)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pending = append(c.pending, one[:n]...)
		if err != nil && !isTimeout(err) {
			c.readErr = err
			cancel()
		}
	}()
	return ctx, func() {
		// A deadline in the past ends the background read; the connection stays usable.
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.Close()
		}
		<-done
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			c.Close()
		}
		cancel()
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// watchedListener wraps accepted connections.
type watchedListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept returns the next connection, wrapped.
func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, writeTimeout: l.writeTimeout}, nil
}
