package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
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
	// ErrLost means that the request may have reached the backend server, and no whole answer came back.
	ErrLost = Errors.NewType("lost")
)

const (
	maxIdlePerAddress = 32
	// maxIdleTime is shorter than the idle time-out of usual HTTP servers, so that idle connections are seldom stale.
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
	since time.Time
}

// conn is a connection with its buffers and the deadline that each read and write gets.
type conn struct {
	net.Conn
	timeout time.Duration
	r       *bufio.Reader
	w       *bufio.Writer
}

// Read reads within the connection's time-out, counted anew for each read.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes within the connection's time-out.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// NewPool returns a pool that dials by the network.
func NewPool(n network.Network) *Pool {
	return &Pool{network: n, idle: map[string][]idleConn{}}
}

// Exchange is one request with its answer; it owns a connection until Close.
type Exchange struct {
	// Response has the status and headers; its body is read by Read.
	Response fasthttp.Response

	pool    *Pool
	address string
	conn    *conn
	body    io.Reader
	whole   bool
	stop    func() bool
}

// Options say how one exchange is carried out.
type Options struct {
	// Silence is the longest time without a byte before the exchange counts as lost.
	Silence time.Duration
	// Fresh asks for a new connection: a request that may not be repeated must not meet a stale one.
	Fresh bool
}

// Do sends a request and reads the head of its answer. The context's end closes the connection. Errors are ErrNotSent or
// ErrLost.
func (p *Pool) Do(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Exchange, error) {
	c, reused, err := p.conn(ctx, address, o)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "cannot connect to backend server at %s; check that it runs and is reachable", address)
	}
	x, err := p.send(ctx, address, c, req)
	if err != nil && reused && ctx.Err() == nil {
		// The server closed the idle connection meanwhile, as HTTP allows at any time.
		o.Fresh = true
		return p.Do(ctx, address, req, o)
	}
	if err != nil {
		return nil, ErrLost.Wrap(err, "connection to backend server at %s ended before the answer began", address)
	}
	if err := x.readHead(); err != nil {
		x.Abort()
		return nil, ErrLost.Wrap(err, "backend server at %s sent no valid answer head", address)
	}
	return x, nil
}

// send writes a request and waits for the first byte of its answer.
func (p *Pool) send(ctx context.Context, address string, c *conn, req *fasthttp.Request) (*Exchange, error) {
	x := &Exchange{pool: p, address: address, conn: c}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
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

func (x *Exchange) readHead() error {
	x.Response.StreamBody = true
	if err := x.Response.ReadLimitBody(x.conn.r, 0); err != nil {
		return err
	}
	x.body = x.Response.BodyStream()
	x.whole = x.body == nil
	return nil
}

// Read reads the body of the answer; io.EOF means that the answer is whole.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.body == nil {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if err == io.EOF {
		x.whole = true
	}
	return n, err
}

// Close returns the connection to the pool when the answer was read to its end, and otherwise closes it, which cancels
// the request.
func (x *Exchange) Close() {
	running := x.stop()
	if !running || !x.whole || x.Response.ConnectionClose() {
		x.conn.Close()
		return
	}
	x.pool.keep(x.address, x.conn)
}

func (p *Pool) conn(ctx context.Context, address string, o Options) (c *conn, reused bool, err error) {
	if !o.Fresh {
		if c := p.take(address); c != nil {
			c.timeout = o.Silence
			return c, true, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, network.DialTimeout)
	defer cancel()
	nc, err := p.network.Dial(dialCtx, address)
	if err != nil {
		return nil, false, err
	}
	c = &conn{Conn: nc, timeout: o.Silence}
	c.r = bufio.NewReaderSize(c, bufferBytes)
	c.w = bufio.NewWriterSize(c, bufferBytes)
	return c, false, nil
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if time.Since(last.since) < maxIdleTime {
			return last.c
		}
		last.c.Close()
	}
	return nil
}

func (p *Pool) keep(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 && (len(list) >= maxIdlePerAddress || time.Since(list[0].since) >= maxIdleTime) {
		list[0].c.Close()
		list = list[1:]
	}
	p.idle[address] = append(list, idleConn{c: c, since: time.Now()})
}

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

// Abort closes the connection whatever was read of the answer, which cancels the request.
func (x *Exchange) Abort() {
	x.stop()
	x.conn.Close()
}
