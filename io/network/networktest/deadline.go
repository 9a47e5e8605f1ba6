package networktest

import (
	"net"
	"os"
	"sync/atomic"
	"time"
)

// DeadlineListener accepts in-memory connections whose writes fail once their deadline has passed, as those of a TCP connection do.
type DeadlineListener struct{ net.Listener }

// Accept returns the next connection.
func (l DeadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: c}, nil
}

type deadlineConn struct {
	net.Conn
	// writeBefore is the deadline of writes, nil for none.
	writeBefore atomic.Pointer[time.Time]
}

// SetDeadline sets the deadlines of reads and writes.
func (c *deadlineConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.writeBefore.Store(&t)
	return c.Conn.SetWriteDeadline(t)
}

// Write writes to the connection.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if t := c.writeBefore.Load(); t != nil && !t.IsZero() && !time.Now().Before(*t) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}
