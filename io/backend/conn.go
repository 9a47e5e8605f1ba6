package backend

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection with its buffers and a timeout for each read and each write.
type conn struct {
	net.Conn
	idleTimeout time.Duration
	// readBefore ends all reads, also those of a server that sends single bytes without end; zero means no such bound.
	readBefore time.Time
	// written is set once a byte of the present request was written, so that the server may have received it.
	written bool
	// interrupted is set once writes have to end.
	interrupted atomic.Bool
	r           *bufio.Reader
	w           *bufio.Writer
}

// Read reads with the connection's timeout, which restarts with each read, but not past readBefore.
func (c *conn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(c.idleTimeout)
	if !c.readBefore.IsZero() && c.readBefore.Before(deadline) {
		deadline = c.readBefore
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// errInterrupted is the error of a write that interruptWrites has ended; the connection has not failed.
var errInterrupted = Errors.NewType("interrupted").New("the write was interrupted")

// Write writes with the connection's timeout, which restarts with each write.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	if c.interrupted.Load() {
		return 0, errInterrupted
	}
	n, err := c.Conn.Write(p)
	c.written = c.written || n > 0
	if errors.Is(err, os.ErrDeadlineExceeded) && c.interrupted.Load() {
		err = errInterrupted
	}
	return n, err
}

// interruptWrites ends the write in progress and all later ones. It sets the deadline after the mark, and Write the other way round, so that no
// write in progress outlives both.
func (c *conn) interruptWrites() error {
	c.interrupted.Store(true)
	return c.SetWriteDeadline(time.Now())
}

// isReusable reports whether an idle connection is open and has nothing to read: a byte that arrived meanwhile belongs to no
// request. It returns true for connections that have no file descriptor.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
