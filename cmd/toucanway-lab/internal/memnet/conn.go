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

	mu     sync.Mutex
	abrupt bool
	closed bool
}

// Read reads what has arrived, and waits for at least one byte.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.in.readBytes(p)
	return n, c.wrap("read", err)
}

// Write hands bytes to the link and waits while more than the window is not yet read.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.writeBytes(p)
	return n, c.wrap("write", err)
}

func (c *conn) wrap(op string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return opError(op, c.remote, err)
}

// Close sends the end of the stream after what was written; after SetLinger(0) it resets the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return opError("close", c.remote, net.ErrClosed)
	}
	c.closed = true
	abrupt := c.abrupt
	c.mu.Unlock()
	end := io.EOF
	if abrupt {
		end = syscall.ECONNRESET
	}
	c.out.closeWrite(end)
	c.in.closeRead()
	c.host.forget(c)
	return nil
}

// SetLinger with zero seconds makes Close reset the connection, as on a *net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	c.mu.Lock()
	c.abrupt = sec == 0
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
	c.in.setRead(t)
	c.out.setWrite(t)
	return nil
}

// SetReadDeadline sets the time after which reads fail.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setRead(t)
	return nil
}

// SetWriteDeadline sets the time after which writes fail.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWrite(t)
	return nil
}
