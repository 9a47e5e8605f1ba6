package operators

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxEventLine bounds the bytes of one line of the watch stream.
const maxEventLine = 1 << 20

// Watch calls each for the changes after a log index until ctx ends, each returns an error or the stream ends. Heartbeats
// are also passed to each. Watch uses the first address that answers and does not reconnect; to continue, call it again
// with the last index received.
func (c *Client) Watch(ctx context.Context, after uint64, each func(EventAnswer) error) error {
	var errs error
	for _, address := range c.cfg.Addresses {
		began, err := c.watchOne(ctx, address, after, each)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if began {
			return err
		}
		errs = errors.Join(errs, fmt.Errorf("%s: %w", address, err))
	}
	return &Unreachable{Err: errs}
}

// watchOne watches one host. It reports whether the host answered, and the error that ended the stream.
func (c *Client) watchOne(ctx context.Context, address string, after uint64, each func(EventAnswer) error) (bool, error) {
	var closer connCloser
	defer closer.close()
	defer context.AfterFunc(ctx, closer.close)()
	client := &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			conn, err := c.cfg.dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return closer.setConn(&idleTimeoutConn{Conn: conn}), nil
		},
		TLSConfig: c.cfg.TLS, StreamResponseBody: true, MaxIdemponentCallAttempts: 1, WriteTimeout: c.cfg.Timeout,
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.prepare(req, address, fasthttp.MethodGet, PathWatch+"?after="+strconv.FormatUint(after, 10))
	if err := client.Do(req, resp); err != nil {
		return false, err
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return true, decodeAnswer(resp.StatusCode(), resp.Body(), nil)
	}
	lines := bufio.NewScanner(resp.BodyStream())
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		var line struct {
			EventAnswer
			Error *Error `json:"error"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return true, ErrProtocol.Wrap(err, "watch stream cannot be decoded; use a client of the same version as the host")
		}
		if line.Error != nil {
			return true, line.Error
		}
		if err := each(line.EventAnswer); err != nil {
			return true, err
		}
	}
	if err := lines.Err(); err != nil {
		return true, ErrProtocol.Wrap(err, "watch stream broke; watch again from the last index")
	}
	return true, nil
}

// idleTimeoutConn fails a read if nothing, not even a heartbeat, arrives within watchIdleTimeout.
type idleTimeoutConn struct{ net.Conn }

// Read reads with a deadline watchIdleTimeout from now.
func (s *idleTimeoutConn) Read(p []byte) (int, error) {
	if err := s.SetReadDeadline(time.Now().Add(watchIdleTimeout)); err != nil {
		return 0, err
	}
	return s.Conn.Read(p)
}

// connCloser closes a connection from another goroutine.
type connCloser struct {
	mu     sync.Mutex
	conn   net.Conn
	closed bool
}

// setConn sets the connection, and closes it at once if close was called before.
func (s *connCloser) setConn(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = c
	if s.closed {
		_ = c.Close() // the next write returns the error
	}
	return c
}

func (s *connCloser) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.conn != nil {
		_ = s.conn.Close() // it may already be closed
	}
}
