package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"toucanway/core/buffers"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/routes"
)

// Default limits for values that the configuration doesn't set, and while no configuration is in force.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
	defaultHeaderTime  = 3 * time.Second
	defaultIdleTime    = 15 * time.Second
	// minHeaderBytes is the smallest limit of headers, whatever the configuration says, and the size of a connection's buffer while it reads
	// no larger ones.
	minHeaderBytes = 4 << 10
	// writeBuffer is the size of the buffer for answers of a connection.
	writeBuffer = 4 << 10
	// maxConnections bounds the number of callers' connections.
	maxConnections = 2500
)

// requestLimits are the limits on what callers may send, with all values set.
type requestLimits struct {
	routes.Limits
	// confirmed is set if no configuration with other limits may have to be in force, so that a request can be refused for its size.
	confirmed bool
}

// server accepts callers' connections and reads their requests.
type server struct {
	limits func() requestLimits
	handle func(ctx context.Context, c *conn, r *fasthttp.Request)
	// buffers bounds the memory of the bodies of requests.
	buffers *buffers.Budget
	// overMemory counts the requests that were refused for it.
	overMemory gometrics.Counter

	mu           sync.Mutex
	conns        map[*conn]bool
	draining     bool
	connsChanged *sync.Cond
	// closingIdle is set once connections without a request are closed after lastRequestTime.
	closingIdle bool
	// ended is set once all connections are to be closed.
	ended bool
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	// r reads from the connection; its buffer grows while it reads large headers.
	r *bufio.Reader
	// unread holds bytes that an earlier reader has read ahead.
	unread []byte
	w      *bufio.Writer
	// memory is the account of the body that is read, or nil.
	memory *buffers.Account
	// readErr is the last error of a read. The parser of chunks hides it in an error of its own.
	readErr error
	// busy is set while a request is read or served; guarded by server.mu.
	busy bool
	// isHead is set if the method of the present request is HEAD, whose answer has no body.
	isHead bool
	// closeAfterAnswer is set if the connection ends after the current answer.
	closeAfterAnswer bool
	// draining reports whether the host is draining.
	draining func() bool
}

// newConn returns a caller's connection. draining reports whether the host is draining.
func newConn(nc net.Conn, draining func() bool) *conn {
	c := &conn{Conn: nc, draining: draining}
	c.w = bufio.NewWriterSize(c, writeBuffer)
	c.setBuffer(minHeaderBytes)
	return c
}

// Write writes with a deadline of its own, so that the one of an earlier write never ends it.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Read reads from the connection and records an error.
func (c *conn) Read(p []byte) (int, error) {
	var n int
	var err error
	if len(c.unread) > 0 {
		n = copy(p, c.unread)
		c.unread = c.unread[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	if c.memory != nil && !c.memory.Add(fleet.Bytes(n)) {
		// Readers ignore an error that comes with bytes, and would wait for more.
		n, err = 0, errNoMemory
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// closing reports whether the connection ends after the current answer, whose headers must then announce it.
func (c *conn) closing() bool {
	c.closeAfterAnswer = c.closeAfterAnswer || c.draining()
	return c.closeAfterAnswer
}

func newServer(limits func() requestLimits, handle func(context.Context, *conn, *fasthttp.Request), b *buffers.Budget, overMemory gometrics.Counter) *server {
	s := &server{limits: limits, handle: handle, buffers: b, overMemory: overMemory, conns: map[*conn]bool{}}
	s.connsChanged = sync.NewCond(&s.mu)
	return s
}

// serve accepts connections until the listener is closed. The end of the context stop cancels all requests in flight.
func (s *server) serve(l net.Listener, stop context.Context) error {
	var eg errgroup.Group
	defer func() {
		// The goroutines of the connections never return an error.
		_ = eg.Wait()
	}()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || err != nil && stop.Err() != nil {
			return nil
		}
		if err != nil {
			if pause.For(stop, 10*time.Millisecond) != nil {
				return nil
			}
			continue
		}
		c := newConn(nc, s.isDraining)
		if !s.add(c) {
			nc.Close()
			continue
		}
		eg.Go(func() error {
			defer s.remove(c)
			s.run(stop, c)
			return nil
		})
	}
}

func (s *server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *server) remove(c *conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.connsChanged.Broadcast()
}

// beginRequest records that the first byte of a request has arrived, and reports whether the request may be read.
func (s *server) beginRequest(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = true
	return !s.ended
}

// awaitRequest records that a connection has no request, and sets the deadline for the first byte of the next one.
func (s *server) awaitRequest(c *conn, idle time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = false
	now := time.Now()
	deadline := now.Add(idle)
	if s.closingIdle {
		deadline = now.Add(min(idle, lastRequestTime))
	}
	return c.SetReadDeadline(deadline)
}

// isDraining reports whether connections end after their current request.
func (s *server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// drain makes connections end after their current request.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// closeIdle ends the connections without a request, once callers have had lastRequestTime for a request that they sent before they
// learned of the drain: a connection that is closed with unread bytes is reset, and its caller can't tell whether the request ran.
func (s *server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingIdle = true
	for c := range s.conns {
		if !c.busy {
			// An error means that the connection is closed already.
			_ = c.SetReadDeadline(time.Now().Add(lastRequestTime))
		}
	}
}

// wait returns once no connection is left or the context ends.
func (s *server) wait(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.connsChanged.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && ctx.Err() == nil {
		s.connsChanged.Wait()
	}
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.conns {
		c.Close()
	}
}

// run serves the requests of one connection.
func (s *server) run(stop context.Context, c *conn) {
	lim := s.limits()
	if s.awaitRequest(c, lim.HeaderTimeout) != nil {
		return
	}
	for {
		if _, err := c.r.Peek(1); err != nil || !s.beginRequest(c) {
			return
		}
		lim = s.limits()
		if !s.readAndServe(stop, c, lim) {
			return
		}
	}
}

// readAndServe reads and serves one request; it returns false if the connection ends.
func (s *server) readAndServe(stop context.Context, c *conn, lim requestLimits) bool {
	req := fasthttp.AcquireRequest()
	var reading readGuard
	memory := s.buffers.Open(func() { reading.interrupt(c) })
	defer memory.Close()
	c.isHead = false
	err := c.read(req, lim.Limits, memory)
	reading.end()
	if err != nil {
		if memory.IsRevoked() {
			s.overMemory.Inc(1)
			err = errNoMemory
		}
		c.refuseUnreadable(err, lim.confirmed)
		return false
	}
	defer fasthttp.ReleaseRequest(req)
	c.isHead = req.Header.IsHead()
	return s.serveOne(stop, c, req, lim.IdleTimeout)
}

// readGuard lets a read of a request be interrupted, but not the wait for its caller's next request while it is served. The zero value is a
// read under way.
type readGuard struct {
	mu    sync.Mutex
	ended bool
}

// interrupt ends the read unless it has ended.
func (g *readGuard) interrupt(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		// An error means that the connection is closed, which ends the read as well.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (g *readGuard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}

// serveOne serves one request and waits for the first byte of the next one; it returns false if the connection ends instead.
func (s *server) serveOne(stop context.Context, c *conn, req *fasthttp.Request, idle time.Duration) bool {
	ctx, cancel := context.WithCancel(stop)
	defer cancel()
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	done := make(chan struct{})
	c.closeAfterAnswer = req.ConnectionClose()
	go func() {
		defer close(done)
		s.handle(ctx, c, req)
		// The deadline ends the Peek below, which also returns any error of the connection.
		if c.closeAfterAnswer {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		} else {
			_ = s.awaitRequest(c, idle)
		}
	}()
	_, err := c.r.Peek(1)
	select {
	case <-done:
	default:
		if err != nil {
			// The caller has closed the connection.
			cancel()
		}
		<-done
	}
	return err == nil && !c.closeAfterAnswer
}
