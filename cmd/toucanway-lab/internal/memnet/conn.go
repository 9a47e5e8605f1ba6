package memnet

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	host          *Host
	in, out       *stream
	local, remote netip.AddrPort

	mu           sync.Mutex
	resetOnClose bool
	closed       bool
}

// Read reads bytes that have arrived, and waits for at least one.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.in.readBytes(p)
	return n, c.wrapError("read", err)
}

// Write sends bytes over the link. It blocks while the unread bytes of the connection fill the window.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.writeBytes(p)
	return n, c.wrapError("write", err)
}

func (c *conn) wrapError(op string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return opError(op, c.remote, err)
}

// Close sends the end of the stream after all bytes written before; after SetLinger(0) it resets the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return opError("close", c.remote, net.ErrClosed)
	}
	c.closed = true
	abrupt := c.resetOnClose
	c.mu.Unlock()
	end := io.EOF
	if abrupt {
		end = syscall.ECONNRESET
	}
	c.out.closeWrite(end)
	c.in.closeRead()
	c.host.untrack(c)
	return nil
}

// SetLinger with zero seconds makes Close reset the connection, as on a *net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	c.mu.Lock()
	c.resetOnClose = sec == 0
	c.mu.Unlock()
	return nil
}

func (c *conn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline sets the time after which reads fail.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline sets the time after which writes fail.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}
