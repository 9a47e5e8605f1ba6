package gateway

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/buffers"
	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// setBuffer gives the connection a reader with a buffer of a size, and keeps the bytes that were read ahead.
func (c *conn) setBuffer(size int) {
	if c.r != nil {
		// All these bytes are in the buffer, so that there is no error.
		ahead, _ := c.r.Peek(c.r.Buffered())
		c.unread = slices.Concat(ahead, c.unread)
	}
	c.r = bufio.NewReaderSize(c, size)
}

// parseGrowing calls parse, which reads headers or trailers from the buffer. While they don't fit, the buffer is doubled up to a limit, so that
// the limit bounds what callers may send but takes no memory by itself. The memory is taken from an account.
func (c *conn) parseGrowing(limit int, memory *buffers.Account, parse func(*bufio.Reader) error) error {
	for {
		err := parse(c.r)
		size := c.r.Size()
		if _, small := errors.AsType[*fasthttp.ErrSmallBuffer](err); !small || size >= limit {
			return err
		}
		larger := min(2*size, limit)
		if !memory.Add(fleet.Bytes(larger - size)) {
			return errNoMemory
		}
		c.setBuffer(larger)
	}
}

// Errors of invalid requests.
var (
	errAmbiguousFraming = Errors.NewType("framing").New("the request has both a content length and chunked encoding; send only one of them")
	errNoMemory         = Errors.NewType("memory").New("the host has no memory for the request now; it was not run; send it again later or to another host")
	errNoHost           = Errors.NewType("host").New("the request has no Host header; set it to the name of the host")
)

// read reads a complete request. The memory of its body is taken from an account.
func (c *conn) read(req *fasthttp.Request, lim routes.Limits, memory *buffers.Account) error {
	if err := c.SetReadDeadline(time.Now().Add(lim.HeaderTimeout)); err != nil {
		return err
	}
	headerBytes := max(lim.HeaderBytes, minHeaderBytes)
	defer func() {
		if c.r.Size() > minHeaderBytes {
			c.setBuffer(minHeaderBytes)
		}
	}()
	req.Header.SetNoDefaultContentType(true)
	if err := c.parseGrowing(headerBytes, memory, req.Header.Read); err != nil {
		return err
	}
	if ambiguousFraming(&req.Header) {
		return errAmbiguousFraming
	}
	if len(req.Header.Host()) == 0 {
		return errNoHost
	}
	if req.MayContinue() {
		if _, err := io.WriteString(c.w, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
		if err := c.w.Flush(); err != nil {
			return err
		}
	}
	if n := req.Header.ContentLength(); n == 0 || n == -2 {
		return nil
	}
	if err := c.SetReadDeadline(time.Now().Add(lim.IdleTimeout)); err != nil {
		return err
	}
	if memory.IsRevoked() {
		// The deadline that interrupts the read was replaced.
		return errNoMemory
	}
	c.memory = memory
	defer func() { c.memory = nil }()
	body, err := c.readBody(req, lim.BodyBytes)
	if _, small := errors.AsType[*fasthttp.ErrSmallBuffer](err); small {
		// The trailers behind the last chunk are not read yet.
		err = c.parseGrowing(headerBytes, memory, req.Header.ReadTrailer)
	}
	if err != nil {
		return err
	}
	req.SetBodyRaw(body)
	if len(body) == 0 {
		req.Header.SetContentLength(0)
	}
	return nil
}

// bodyBlock is the size up to which the memory for a body is reserved before its bytes arrive.
const bodyBlock = 16 << 10

// readBody reads the body of a request, of limit bytes at most. The memory for it grows with the bytes that arrive, whatever length the caller
// names.
func (c *conn) readBody(req *fasthttp.Request, limit int) ([]byte, error) {
	length := req.Header.ContentLength()
	switch {
	case length > limit:
		return nil, fasthttp.ErrBodyTooLarge
	case length >= 0:
		return readUpTo(c.r, length, length)
	}
	if err := req.ContinueReadBodyStream(c.r, 0, false); err != nil {
		return nil, err
	}
	return readUpTo(req.BodyStream(), math.MaxInt, limit)
}

// readUpTo reads up to size bytes, or to the end of a reader if size is math.MaxInt. More than limit bytes are ErrBodyTooLarge. An error comes with
// the bytes before it.
func readUpTo(r io.Reader, size, limit int) ([]byte, error) {
	body := make([]byte, 0, min(size, bodyBlock))
	for len(body) < size {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), size)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, fasthttp.ErrBodyTooLarge
		case len(body) == size, errors.Is(err, io.EOF) && size == math.MaxInt:
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return body, err
		}
	}
	return body, nil
}

// ambiguousFraming reports whether a request has both a content length and chunked encoding, so that its end is ambiguous.
func ambiguousFraming(h *fasthttp.RequestHeader) bool {
	return h.ContentLength() == -1 && hasField(h.RawHeaders(), "content-length")
}

// refuseUnreadable answers a request that can't be read, unless the connection was closed. A request that is too large is told to
// come back unless the limits are confirmed, since the newest configuration may allow it.
func (c *conn) refuseUnreadable(err error, confirmed bool) {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	// The parser's errors quote the headers, which may hold a key.
	r := refusal{status: fasthttp.StatusBadRequest, code: "unreadable-request", message: "the request is not valid HTTP; correct its headers, framing or body"}
	if errors.Is(err, errAmbiguousFraming) || errors.Is(err, errNoHost) {
		r.message = err.Error()
	}
	tooLarge := errors.As(err, &small) || errors.Is(err, fasthttp.ErrBodyTooLarge)
	if c.readErr != nil && !errors.Is(err, errNoMemory) {
		err = c.readErr
	}
	switch {
	case errors.Is(err, errNoMemory):
		r = refusal{status: fasthttp.StatusServiceUnavailable, code: "host-over-memory", retryDelay: retryAfter, message: err.Error()}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return
	case tooLarge && !confirmed:
		r = refusal{
			status: fasthttp.StatusServiceUnavailable, code: "configuration-stale", retryDelay: retryAfter,
			message: "the request is larger than the limits of this host allow, which may not be the newest; it was not run; retry shortly",
		}
	case small != nil:
		r.status, r.message = fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers of the request are larger than allowed; send less"
	case tooLarge:
		r.status, r.message = fasthttp.StatusRequestEntityTooLarge, "the body of the request is larger than allowed; send less"
	case errors.As(err, &timeout) && timeout.Timeout():
		r.status, r.message = fasthttp.StatusRequestTimeout, "the request did not arrive in time; send it faster"
	}
	c.closeAfterAnswer = true
	c.refuse(r)
}
