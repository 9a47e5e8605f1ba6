package live

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedWrites bounds the writes of a connection that are on their way.
	queuedWrites = 1024
	// stuckTime ends a connection whose reader takes nothing.
	stuckTime = 10 * time.Second
)

type segment struct {
	due  time.Time
	data []byte
}

// conn passes writes on after a delay, in order, from a goroutine of its own.
type conn struct {
	net.Conn
	route Route
	delay time.Duration
	sent  *atomic.Int64
	queue chan segment
	// closing ends the sender once the queue is empty, broken at once.
	closing, broken chan struct{}
	closeOnce       sync.Once
	breakOnce       sync.Once
	// deadline is that of writes in nanoseconds since 1970; zero is none.
	deadline atomic.Int64
}

func newConn(inner net.Conn, r Route, delay time.Duration, sent *atomic.Int64) *conn {
	return &conn{
		Conn: inner, route: r, delay: delay, sent: sent, queue: make(chan segment, queuedWrites),
		closing: make(chan struct{}), broken: make(chan struct{}),
	}
}

// Write queues the bytes; it waits while too many writes are on their way.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closing:
		return 0, net.ErrClosed
	case <-c.broken:
		return 0, net.ErrClosed
	default:
	}
	var expired <-chan time.Time
	if at := c.deadline.Load(); at != 0 {
		left := time.Until(time.Unix(0, at))
		if left <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		t := time.NewTimer(left)
		defer t.Stop()
		expired = t.C
	}
	select {
	case c.queue <- segment{due: time.Now().Add(c.delay), data: append([]byte(nil), p...)}:
		c.sent.Add(int64(len(p)))
		return len(p), nil
	case <-c.closing:
		return 0, net.ErrClosed
	case <-c.broken:
		return 0, net.ErrClosed
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// Read reads from the connection until it is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		select {
		case <-c.closing:
			return n, net.ErrClosed
		default:
		}
	}
	return n, err
}

// Close ends reads at once, and the connection after what was written before.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closing)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return nil
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.breakOnce.Do(func() { close(c.broken) })
	_ = c.Conn.Close()
}

// SetDeadline sets the deadline of reads and of writes that wait for room.
func (c *conn) SetDeadline(t time.Time) error {
	return c.setDeadlines(t, t)
}

func (c *conn) setDeadlines(read, write time.Time) error {
	if err := c.SetWriteDeadline(write); err != nil {
		return err
	}
	return c.SetReadDeadline(read)
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	select {
	case <-c.closing:
		return net.ErrClosed
	default:
		return c.Conn.SetReadDeadline(t)
	}
}

// SetWriteDeadline sets the deadline of writes that wait for room.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.deadline.Store(0)
		return nil
	}
	c.deadline.Store(t.UnixNano())
	return nil
}

// send passes the queue on until the connection ends.
func (c *conn) send() {
	defer c.abort()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var s segment
		select {
		case s = <-c.queue:
		case <-c.broken:
			return
		case <-c.closing:
			select {
			case s = <-c.queue:
			default:
				return
			}
		}
		if wait := time.Until(s.due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-c.broken:
				return
			}
		}
		if c.Conn.SetWriteDeadline(time.Now().Add(stuckTime)) != nil {
			return
		}
		if _, err := c.Conn.Write(s.data); err != nil {
			return
		}
	}
}
