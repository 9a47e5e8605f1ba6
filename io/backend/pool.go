package backend

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"toucanway/io/network"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("backend")

var (
	// ErrNotSent means that the request did not reach the backend server.
	ErrNotSent = Errors.NewType("not-sent")
	// ErrLost means that the request may have reached the backend server, but no complete answer was received.
	ErrLost = Errors.NewType("lost")
	// ErrStray means that only answers to other requests were received; Do returns it as the cause of an ErrLost.
	ErrStray = Errors.NewType("stray")
	// ErrNotPermitted means that the permission to send the request ended before it was written; Do returns it as the cause of an
	// ErrNotSent.
	ErrNotPermitted = Errors.NewType("not-permitted")
)

const (
	maxIdlePerAddress = 32
	// maxIdleTime is shorter than the idle timeout of usual HTTP servers, so that a reused connection is rarely closed already.
	maxIdleTime = 3 * time.Second
	bufferBytes = 8 << 10
)

// Pool opens and reuses connections to backend servers; it is safe for concurrent use.
type Pool struct {
	network network.Network

	mu   sync.Mutex
	idle map[string][]idleConn
}

type idleConn struct {
	c     *conn
	until time.Time
}

// conn is a connection with its buffers and a timeout for each read and each write.
type conn struct {
	net.Conn
	idleTimeout time.Duration
	// readBefore ends all reads, also those of a server that sends single bytes without end; zero means no such bound.
	readBefore time.Time
	r          *bufio.Reader
	w          *bufio.Writer
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

// Write writes with the connection's timeout, which restarts with each write.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// NewPool returns a pool that dials through the given network.
func NewPool(n network.Network) *Pool {
	return &Pool{network: n, idle: map[string][]idleConn{}}
}

// Match says to which request an answer belongs.
type Match uint8

// Results of a match.
const (
	// Unidentified means that the answer names no request. It is accepted only if no earlier request was sent on the connection,
	// since it may else be a late answer to that one.
	Unidentified Match = iota
	// Own means that the answer names this request.
	Own
	// Other means that the answer names another request.
	Other
)

// MatchID returns the match of an answer that names a request by id, which may be empty, with the request's own id.
func MatchID[T ~string](id, own T) Match {
	switch id {
	case "":
		return Unidentified
	case own:
		return Own
	default:
		return Other
	}
}

// Exchange is one request with its answer; it owns a connection until Close.
type Exchange struct {
	// Response has the status and headers; the body is read with Read.
	Response fasthttp.Response

	pool     *Pool
	address  string
	conn     *conn
	body     io.Reader
	complete bool
	// reused is set if the connection has carried an earlier request.
	reused bool
	// ambiguous is set if an answer to another request was skipped, or if the answer names no request: a further one could not be
	// told from the next request's answer.
	ambiguous bool
	// detachContext stops the context from closing the connection; it returns false if the context has ended.
	detachContext func() bool
	// written is closed once the request was written or writing it has failed; nil for a short request.
	written  chan struct{}
	writeErr error
}

// Options configure one exchange.
type Options struct {
	// IdleTimeout is the longest time without a byte before the exchange counts as lost. It also bounds the time from the request
	// to the end of the answer's headers.
	IdleTimeout time.Duration
	// NewConnection forbids the reuse of a connection, which the server may have closed already. It is set for requests that may
	// not be repeated.
	NewConnection bool
	// NoRetry is set if the request must not be sent again on another connection after a reused one turns out to be closed.
	NoRetry bool
	// Match reports whether an answer belongs to this request; answers to others are skipped. Nil accepts every answer.
	Match func(*fasthttp.ResponseHeader) Match
	// Permitted is called when the connection is open, immediately before the request is written; the request is not sent if it
	// returns false. Nil permits every request.
	Permitted func() bool
	// DialTimeout bounds the time for a new connection; 0 means network.DialTimeout.
	DialTimeout time.Duration
}

const (
	// maxStrayAnswers bounds the answers to earlier requests that are skipped.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
	// minConcurrentBody is the size from which a body is written concurrently with reading the answer, since a server may answer
	// before it has read the whole request.
	minConcurrentBody = 8 << 10
	// keepAliveMargin is the time before the end of the server's idle timeout from which a connection is no longer reused.
	keepAliveMargin = time.Second
)

// Do sends a request and reads the headers of its answer. The end of the context closes the connection. Errors are ErrNotSent or
// ErrLost.
func (p *Pool) Do(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Exchange, error) {
	c, reused, err := p.getConn(ctx, address, o)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "cannot connect to backend server at %s; check that it runs and is reachable", address)
	}
	if o.Permitted != nil && !o.Permitted() {
		c.Close()
		return nil, ErrNotSent.Wrap(ErrNotPermitted.New("the permission ended before the request was sent"), "request to backend server at %s dropped", address)
	}
	c.readBefore = time.Now().Add(o.IdleTimeout)
	x, err := p.send(ctx, address, c, req)
	if err != nil && reused && !o.NoRetry && ctx.Err() == nil {
		// The server has closed the idle connection meanwhile, as HTTP allows at any time.
		o.NewConnection = true
		return p.Do(ctx, address, req, o)
	}
	if err != nil {
		return nil, ErrLost.Wrap(err, "connection to backend server at %s ended before the answer began", address)
	}
	x.reused = reused
	if err := x.readHeaders(o.Match); err != nil {
		x.Abort()
		return nil, ErrLost.Wrap(err, "backend server at %s sent invalid answer headers", address)
	}
	c.readBefore = time.Time{}
	return x, nil
}

// send writes a request and waits for the first byte of its answer.
func (p *Pool) send(ctx context.Context, address string, c *conn, req *fasthttp.Request) (*Exchange, error) {
	x := &Exchange{pool: p, address: address, conn: c}
	x.detachContext = context.AfterFunc(ctx, func() { c.Close() })
	var err error
	if len(req.Body()) >= minConcurrentBody {
		x.written = make(chan struct{})
		go func() {
			defer close(x.written)
			x.writeErr = writeRequest(c, req)
		}()
	} else {
		err = writeRequest(c, req)
	}
	if err == nil {
		_, err = c.r.Peek(1)
	}
	if err != nil {
		x.Abort()
		return nil, err
	}
	return x, nil
}

func writeRequest(c *conn, req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// readHeaders reads the headers of the answer and skips answers to earlier requests.
func (x *Exchange) readHeaders(match func(*fasthttp.ResponseHeader) Match) error {
	for stray := 0; ; stray++ {
		x.Response.Reset()
		x.Response.StreamBody = true
		x.Response.Header.SetNoDefaultContentType(true)
		if err := x.Response.ReadLimitBody(x.conn.r, 0); err != nil {
			return err
		}
		x.body = x.Response.BodyStream()
		x.complete = x.body == nil
		if match == nil {
			return nil
		}
		switch match(&x.Response.Header) {
		case Own:
			return nil
		case Unidentified:
			if x.reused || x.ambiguous {
				return ErrStray.New("the backend server sent an answer without the request's id on a connection with earlier requests")
			}
			x.ambiguous = true
			return nil
		case Other:
		}
		x.ambiguous = true
		if stray == maxStrayAnswers {
			return ErrStray.New("the backend server sent %d answers to other requests; the connection is closed", stray+1)
		}
		if x.body != nil {
			if n, err := io.Copy(io.Discard, io.LimitReader(x.body, maxStrayBytes+1)); err != nil || n > maxStrayBytes {
				return ErrStray.New("the backend server sent an answer to another request that does not end; the connection is closed")
			}
		}
	}
}

// isWritten reports whether the whole request was written.
func (x *Exchange) isWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// Read reads the body of the answer; io.EOF means that the answer is complete.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.body == nil {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if err == io.EOF {
		x.complete = true
	}
	return n, err
}

// ReadWithin makes all reads of the body fail once d has passed, however many bytes arrive until then; 0 removes the bound.
func (x *Exchange) ReadWithin(d time.Duration) {
	x.conn.readBefore = time.Time{}
	if d > 0 {
		x.conn.readBefore = time.Now().Add(d)
	}
}

// Discard reads the rest of the body, at most limit bytes within d. A longer body leaves the answer incomplete, so that Close
// closes the connection.
func (x *Exchange) Discard(limit int64, d time.Duration) {
	x.ReadWithin(d)
	// An error leaves the answer incomplete.
	_, _ = io.Copy(io.Discard, io.LimitReader(x, limit+1))
	x.ReadWithin(0)
}

// Close returns the connection to the pool if the answer was read to its end and the connection can be reused. Otherwise it
// closes the connection, which cancels an incomplete request.
func (x *Exchange) Close() {
	contextOpen := x.detachContext()
	// A connection with bytes after the answer is closed, since they belong to no request.
	if !contextOpen || !x.complete || x.ambiguous || !x.isWritten() || x.Response.ConnectionClose() || x.conn.r.Buffered() > 0 {
		x.conn.Close()
		return
	}
	idle := maxIdleTime
	if serverTimeout, ok := keepAlive(&x.Response.Header); ok {
		idle = serverTimeout - keepAliveMargin
	}
	x.pool.putIdle(x.address, x.conn, idle)
}

// keepAlive returns the timeout of the Keep-Alive header, after which the server closes idle connections, if there is one.
func keepAlive(h *fasthttp.ResponseHeader) (time.Duration, bool) {
	_, text, ok := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !ok {
		return 0, false
	}
	text, _, _ = strings.Cut(text, ",")
	n, err := strconv.Atoi(strings.TrimSpace(text))
	return time.Duration(n) * time.Second, err == nil
}

func (p *Pool) getConn(ctx context.Context, address string, o Options) (c *conn, reused bool, err error) {
	if !o.NewConnection {
		if c := p.takeIdle(address); c != nil {
			c.idleTimeout, c.readBefore = o.IdleTimeout, time.Time{}
			return c, true, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, cmp.Or(o.DialTimeout, network.DialTimeout))
	defer cancel()
	nc, err := p.network.Dial(dialCtx, address)
	if err != nil {
		return nil, false, err
	}
	c = &conn{Conn: nc, idleTimeout: o.IdleTimeout}
	c.r = bufio.NewReaderSize(c, bufferBytes)
	c.w = bufio.NewWriterSize(c, bufferBytes)
	return c, false, nil
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if time.Now().Before(last.until) && isReusable(last.c.Conn) {
			return last.c
		}
		last.c.Close()
	}
	return nil
}

func (p *Pool) putIdle(address string, c *conn, idle time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 && (len(list) >= maxIdlePerAddress || !now.Before(list[0].until)) {
		list[0].c.Close()
		list = list[1:]
	}
	if idle <= 0 {
		c.Close()
		p.idle[address] = list
		return
	}
	p.idle[address] = append(list, idleConn{c: c, until: now.Add(idle)})
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

// Drop closes the idle connections to an address, for instance after its server has ended.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.idle[address] {
		i.c.Close()
	}
	delete(p.idle, address)
}

// IsNotSent reports whether an error of Do means that the request did not reach the backend server.
func IsNotSent(err error) bool { return err != nil && errorx.IsOfType(err, ErrNotSent) }

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, i := range list {
			i.c.Close()
		}
	}
	p.idle = map[string][]idleConn{}
}

// Abort closes the connection even if the answer was read to its end. An incomplete request is thereby cancelled.
func (x *Exchange) Abort() {
	x.detachContext()
	x.conn.Close()
}
