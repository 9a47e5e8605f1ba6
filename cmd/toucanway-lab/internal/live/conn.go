package live

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedWrites is the maximum number of writes of a connection that are delayed at the same time.
	maxQueuedWrites = 1024
	// writeTimeout is the timeout of a write to the underlying connection; a connection whose peer does not read is aborted.
	writeTimeout = 10 * time.Second
)

// segment is the data of one write and the time at which it is passed on.
type segment struct {
	due  time.Time
	data []byte
}

// conn delays writes. A goroutine of its own, send, passes them to the underlying connection in order.
type conn struct {
	net.Conn
	route     Route
	delay     time.Duration
	bytesSent *atomic.Int64
	queue     chan segment
	// closing is closed by Close and stops the sender once the queue is empty. aborted stops it at once.
	closing, aborted chan struct{}
	closeOnce        sync.Once
	abortOnce        sync.Once
	// writeDeadline is the deadline of writes in nanoseconds since 1970; zero means none.
	writeDeadline atomic.Int64
}

func newConn(inner net.Conn, r Route, delay time.Duration, sent *atomic.Int64) *conn {
	return &conn{
		Conn: inner, route: r, delay: delay, bytesSent: sent, queue: make(chan segment, maxQueuedWrites),
		closing: make(chan struct{}), aborted: make(chan struct{}),
	}
}

// Write queues a copy of the bytes. It blocks while the queue is full, until the write deadline.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closing:
		return 0, net.ErrClosed
	case <-c.aborted:
		return 0, net.ErrClosed
	default:
	}
	var expired <-chan time.Time
	if at := c.writeDeadline.Load(); at != 0 {
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
		c.bytesSent.Add(int64(len(p)))
		return len(p), nil
	case <-c.closing:
		return 0, net.ErrClosed
	case <-c.aborted:
		return 0, net.ErrClosed
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// Read reads from the underlying connection. After Close it returns net.ErrClosed.
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

// Close ends reads at once. The underlying connection is closed after the queued writes were sent.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closing)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return nil
}

// abort closes the underlying connection at once and drops the queued writes.
func (c *conn) abort() {
	c.abortOnce.Do(func() { close(c.aborted) })
	_ = c.Conn.Close()
}

// SetDeadline sets the deadlines of reads and of writes that block on a full queue.
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

// SetWriteDeadline sets the deadline of writes that block on a full queue.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeDeadline.Store(0)
		return nil
	}
	c.writeDeadline.Store(t.UnixNano())
	return nil
}

// send writes the queued data to the underlying connection when it is due, until the connection is closed or fails.
func (c *conn) send() {
	defer c.abort()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var s segment
		select {
		case s = <-c.queue:
		case <-c.aborted:
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
			case <-c.aborted:
				return
			}
		}
		if c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := c.Conn.Write(s.data); err != nil {
			return
		}
	}
}
