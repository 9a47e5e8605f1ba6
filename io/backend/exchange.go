package backend

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/io/http1"
)

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
	// isHead is set if the request's method is HEAD, whose answers have no body whatever their headers say.
	isHead bool
	// ambiguous is set if an answer to another request was skipped, or if the answer names no request: a further one could not be
	// told from the next request's answer.
	ambiguous bool
	// detachContext stops the context from closing the connection; it returns false if the context has ended.
	detachContext func() bool
	// bodyWritten is closed once the request was written or writing it has failed; nil for a short request.
	bodyWritten chan struct{}
	writeErr    error
}

func writeRequest(c *conn, req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// begin reads the headers of the answer. If there are none, the exchange ends with ErrLost.
func (x *Exchange) begin(match func(*fasthttp.ResponseHeader) Match) (*Exchange, error) {
	if err := x.readHeaders(match); err != nil {
		x.Abort()
		return nil, ErrLost.Wrap(err, "the server at %s sent invalid answer headers", x.address)
	}
	x.conn.readBefore = time.Time{}
	return x, nil
}

// readFinalHead reads the head of the next final answer, and the interim answers before it. Each head is judged before the library parses it.
func (x *Exchange) readFinalHead() error {
	for range maxInterimAnswers + 1 {
		x.Response.Reset()
		x.Response.Header.SetNoDefaultContentType(true)
		h, err := http1.PeekHead(x.conn.r)
		if err != nil {
			return err
		}
		if err := x.Response.Header.Read(x.conn.r); err != nil || !h.IsInterim() {
			return err
		}
	}
	return ErrStray.New("the server sent more than %d interim answers; the connection is closed", maxInterimAnswers)
}

// readHeaders reads the headers of the answer and skips answers to earlier requests.
func (x *Exchange) readHeaders(match func(*fasthttp.ResponseHeader) Match) error {
	for stray := 0; ; stray++ {
		if err := x.readFinalHead(); err != nil {
			return err
		}
		if x.Response.StatusCode() < fasthttp.StatusOK {
			return ErrStray.New("the server sent an answer that switches protocols; the connection is closed")
		}
		x.body = x.newBody()
		x.complete = x.body == nil
		if match == nil {
			return nil
		}
		switch match(&x.Response.Header) {
		case Own:
			return nil
		case Unidentified:
			if x.reused || x.ambiguous {
				return ErrStray.New("the server sent an answer without the request's id on a connection with earlier requests")
			}
			x.ambiguous = true
			return nil
		case Other:
		}
		x.ambiguous = true
		if stray == maxStrayAnswers {
			return ErrStray.New("the server sent %d answers to other requests; the connection is closed", stray+1)
		}
		if x.body != nil {
			if n, err := io.Copy(io.Discard, io.LimitReader(x.body, maxStrayBytes+1)); err != nil || n > maxStrayBytes {
				return ErrStray.New("the server sent an answer to another request that does not end; the connection is closed")
			}
		}
	}
}

// isWritten reports whether the whole request was written.
func (x *Exchange) isWritten() bool {
	if x.bodyWritten == nil {
		return true
	}
	select {
	case <-x.bodyWritten:
		return x.writeErr == nil
	default:
		return false
	}
}

// writeAfterClose is the time that the rest of a request has once the server has closed its side of the connection. A server that has closed all of
// it answers further bytes with a reset, after a few round trips at most.
const writeAfterClose = time.Second

// endWrite ends writing the request, whose server has closed its side of the connection. The error is nil if the request was written, or if the
// server had neither read it within writeAfterClose nor reset the connection.
func (x *Exchange) endWrite() error {
	if x.bodyWritten == nil {
		return nil
	}
	wait := writeAfterClose
	if before := x.conn.readBefore; !before.IsZero() {
		wait = min(wait, time.Until(before))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.bodyWritten:
	case <-timer.C:
		if err := x.conn.interruptWrites(); err != nil {
			return err
		}
		<-x.bodyWritten
	}
	// A write that has failed before it was interrupted has an error of its own.
	if errors.Is(x.writeErr, errInterrupted) {
		return nil
	}
	return x.writeErr
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

// IsComplete reports whether the answer was read to its end.
func (x *Exchange) IsComplete() bool { return x.complete }

// EndsWithConnection reports whether the answer has neither a length nor chunks, so that its body ends with the connection.
func (x *Exchange) EndsWithConnection() bool {
	_, ok := x.body.(untilCloseBody)
	return ok
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
	if !contextOpen || !x.complete || x.ambiguous || !x.isWritten() || x.Response.ConnectionClose() || x.EndsWithConnection() || x.conn.r.Buffered() > 0 {
		x.closeConnection()
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

// Abort closes the connection even if the answer was read to its end. An incomplete request is thereby cancelled.
func (x *Exchange) Abort() {
	x.detachContext()
	x.closeConnection()
}

// closeConnection closes the connection and waits until the request is no longer read, since its memory belongs to the caller again.
func (x *Exchange) closeConnection() {
	x.conn.Close()
	if x.bodyWritten != nil {
		<-x.bodyWritten
	}
}
