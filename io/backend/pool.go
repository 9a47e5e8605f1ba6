package backend

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
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
	// ErrNotSent means that no byte of the request was written to the backend server.
	ErrNotSent = Errors.NewType("not-sent")
	// ErrLost means that the request may have reached the backend server, but no complete answer was received. A later attempt that sends
	// nothing, for instance a refused connection, doesn't change that.
	ErrLost = Errors.NewType("lost")
	// ErrStray means that only answers were received that are not to the request; Do returns it as the cause of an ErrLost.
	ErrStray = Errors.NewType("stray")
	// ErrNotPermitted means that the permission to send the request ended before it was written; Do returns it as the cause of an
	// ErrNotSent or, if the request was written before, an ErrLost.
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
	dialer Dialer

	mu   sync.Mutex
	idle map[string][]idleConn
}

type idleConn struct {
	c     *conn
	until time.Time
}

// Dialer opens connections; a network.Network is one.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// NewPool returns a pool that opens connections through a dialer.
func NewPool(d Dialer) *Pool {
	return &Pool{dialer: d, idle: map[string][]idleConn{}}
}

// Options configure one exchange.
type Options struct {
	// IdleTimeout is the longest time without a byte before the exchange counts as lost. It also bounds the time from the request
	// to the end of the answer's headers.
	IdleTimeout time.Duration
	// NewConnection forbids the reuse of a connection, which the server may have closed already. It is set for requests that may
	// not be repeated, for those whose answers name no request, and for those that were sent to the server before.
	NewConnection bool
	// NoRetry is set if the request must not be sent again once a byte of it was written, also if that was on a reused connection that
	// turns out to be closed.
	NoRetry bool
	// BeforeRepeat is called before the request is sent again after a reused connection on which it was written has ended: the server may
	// have received it. The request is not sent again if it returns false. Nil permits every repeat.
	BeforeRepeat func() bool
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
	// maxInterimAnswers bounds the interim answers before a final one.
	maxInterimAnswers = 100
	// minConcurrentBody is the size from which a body is written concurrently with reading the answer, since a server may answer
	// before it has read the whole request.
	minConcurrentBody = 8 << 10
	// keepAliveMargin is the time before the end of the server's idle timeout from which a connection is no longer reused.
	keepAliveMargin = time.Second
)

// Do sends a request and reads the headers of its answer. The end of the context closes the connection. The error is ErrNotSent as long as no
// byte of the request was written on any connection, and ErrLost from then on, whatever happens later.
func (p *Pool) Do(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Exchange, error) {
	written := false
	for {
		c, reused, err := p.getConn(ctx, address, o)
		if err != nil {
			return nil, failure(written).Wrap(err, "cannot connect to the server at %s; check that it runs and is reachable", address)
		}
		if o.Permitted != nil && !o.Permitted() {
			c.Close()
			return nil, failure(written).Wrap(ErrNotPermitted.New("the permission ended before the request was sent"), "request to the server at %s dropped", address)
		}
		c.readBefore = time.Now().Add(o.IdleTimeout)
		x, err := p.send(ctx, address, c, req)
		if err == nil {
			x.reused = reused
			return x.begin(o.Match)
		}
		written = written || c.written
		if !reused || ctx.Err() != nil || written && !o.mayRepeat() {
			return nil, failure(written).Wrap(err, "connection to the server at %s ended before the answer began", address)
		}
		// The server may have closed the idle connection meanwhile, as HTTP allows at any time.
		o.NewConnection = true
	}
}

// failure returns the type of an error of Do: ErrLost if a byte of the request was written, so that the server may have it, else ErrNotSent.
func failure(written bool) *errorx.Type {
	if written {
		return ErrLost
	}
	return ErrNotSent
}

// mayRepeat reports whether the request, which the server may have received, may be sent to it once more.
func (o *Options) mayRepeat() bool {
	return !o.NoRetry && (o.BeforeRepeat == nil || o.BeforeRepeat())
}

// send writes a request and waits for the first byte of its answer.
func (p *Pool) send(ctx context.Context, address string, c *conn, req *fasthttp.Request) (*Exchange, error) {
	c.written = false
	x := &Exchange{pool: p, address: address, conn: c, isHead: req.Header.IsHead()}
	x.detachContext = context.AfterFunc(ctx, func() { c.Close() })
	var err error
	if len(req.Body()) >= minConcurrentBody {
		x.bodyWritten = make(chan struct{})
		go func() {
			defer close(x.bodyWritten)
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

func (p *Pool) getConn(ctx context.Context, address string, o Options) (c *conn, reused bool, err error) {
	if !o.NewConnection {
		if c := p.takeIdle(address); c != nil {
			c.idleTimeout, c.readBefore = o.IdleTimeout, time.Time{}
			return c, true, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, cmp.Or(o.DialTimeout, network.DialTimeout))
	defer cancel()
	nc, err := p.dialer.Dial(dialCtx, address)
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

// Drop closes the idle connections to an address, for instance after its server has ended.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.idle[address] {
		i.c.Close()
	}
	delete(p.idle, address)
}

// Refuses reports whether connections to an address are refused, so that no process listens there. A connection that is accepted is
// kept for later requests.
func (p *Pool) Refuses(ctx context.Context, address string, timeout time.Duration) bool {
	c, _, err := p.getConn(ctx, address, Options{NewConnection: true, DialTimeout: timeout})
	if err == nil {
		p.putIdle(address, c, maxIdleTime)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
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
