package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/accounts"
	"toucanway/core/balance"
	"toucanway/core/buffers"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
	"toucanway/io/backend"
)

// transmission is the request as it is sent to one server; release must be called.
type transmission struct {
	x      *exchange
	c      *selection
	req    *fasthttp.Request
	left   time.Duration
	sentAt time.Time
	// isForbidden is set if the permission to send the request ended before it was written.
	isForbidden bool
}

// newTransmission prepares the request for a server, which is to go on behind an event if there was one.
func (x *exchange) newTransmission(c *selection, lastEvent string) *transmission {
	t := &transmission{x: x, c: c, req: fasthttp.AcquireRequest(), left: time.Until(x.deadline)}
	x.callerRequest.Header.CopyTo(&t.req.Header)
	t.req.SetBodyRaw(x.callerRequest.Body())
	x.proxy.cfg.Dialect.SetForwardHeaders(&t.req.Header, ForwardInfo{
		Instance: c.instance.ID, Deadline: t.left, Priority: x.priority(), LastEvent: lastEvent,
		PrefixSource: c.prefixSource, HidesKey: x.hidesKey, Account: accounts.Name(x.account),
	})
	return t
}

func (t *transmission) release() { fasthttp.ReleaseRequest(t.req) }

// send sends the request and returns its answer once the headers have arrived. When the context ends, the connection is closed, which makes the
// server cancel the request.
func (t *transmission) send(ctx context.Context, o backend.Options) (*backend.Exchange, error) {
	x, in := t.x, t.c.instance
	o.IdleTimeout, o.DialTimeout = t.left+time.Second, connectTimeout
	o.Match = func(h *fasthttp.ResponseHeader) backend.Match {
		a := x.proxy.cfg.Dialect.Answer(h)
		x.observe(in, a, t.sentAt)
		return backend.MatchID(a.ID, x.info.ID)
	}
	o.Permitted = func() bool {
		t.sentAt = time.Now()
		t.isForbidden = !x.proxy.view.maySend(t.c)
		return !t.isForbidden
	}
	return x.proxy.cfg.Pool.Do(ctx, in.Address, t.req, o)
}

// send sends the request to one server and forwards its answer. The caller has a complete answer if the error is nil.
func (x *exchange) send(c *selection) (status int, out balance.Outcome, err error) {
	in := c.instance
	x.server = in
	ctx, end := context.WithCancelCause(x.ctx)
	defer end(nil)
	t := x.newTransmission(c, x.stream.lastEventID)
	defer t.release()
	stop := x.watchStall(in.ID, end)
	defer func() { stop(err != nil) }()
	upstream, err := t.send(ctx, backend.Options{
		NoRetry: !x.route.Idempotent(),
		// A connection that has carried this request may hold a second copy of the refusal, which bears the request's id. A trial is sent
		// once, so that a connection that the server has closed meanwhile would waste it.
		NewConnection: x.sentTo[in.Address] || x.isTrial,
		BeforeRepeat:  func() bool { return x.beforeRepeat(c) },
	})
	switch {
	case backend.IsNotSent(err) && t.isForbidden:
		return 0, balance.Withdrawn, err
	case backend.IsNotSent(err):
		return 0, x.failureOutcome(balance.Unconnected), err
	}
	x.markSent(in)
	if err != nil {
		x.markMayHaveRun(in)
		return 0, x.failureOutcome(balance.Lost), err
	}
	return x.receiveFrom(ctx, end, c, upstream)
}

// receiveFrom reads and forwards the answer of an attempt with a context, which end ends with a cause.
func (x *exchange) receiveFrom(ctx context.Context, end context.CancelCauseFunc, c *selection, upstream *backend.Exchange) (int, balance.Outcome, error) {
	defer upstream.Close()
	memory := x.proxy.cfg.Buffers.Open(func() { end(errOverMemory) })
	status, out, err := x.receive(upstream, c.ticket, memory)
	x.endsWithConnection = upstream.EndsWithConnection()
	if x.failedAnswer == nil || x.failedAnswer.memory != memory {
		memory.Close()
	}
	switch cause := context.Cause(ctx); {
	case err != nil && errors.Is(cause, errStalled):
		err = errStalled
	case err != nil && memory.IsRevoked():
		x.proxy.metrics.overMemory.With("answer").Inc(1)
		err = errOverMemory
	}
	return status, out, err
}

// beforeRepeat records that the server may have received the request on a connection that has ended without an answer, and reports whether it
// may be sent there once more. A repeat counts against the retry budget. The grant of a server with a rate limit and a trial cover one send.
func (x *exchange) beforeRepeat(c *selection) bool {
	x.markSent(c.instance)
	x.markMayHaveRun(c.instance)
	return !c.isGranted && !x.isTrial && x.proxy.view.spendRetry(x.service)
}

// markSent records that the server may have received the request.
func (x *exchange) markSent(in *registry.Instance) {
	x.triedServers[in.ID], x.sentTo[in.Address] = true, true
}

// markMayHaveRun records that the server may have run the request.
func (x *exchange) markMayHaveRun(in *registry.Instance) { x.ranAt[in.ID] = true }

// mayHaveRun reports whether a server may have run the request.
func (x *exchange) mayHaveRun() bool { return len(x.ranAt) > 0 }

// keepFailed keeps a failed answer in place of an earlier one.
func (x *exchange) keepFailed(a *answer) {
	if x.failedAnswer != nil {
		x.failedAnswer.memory.Close()
	}
	x.failedAnswer = a
}

// readAnswer reads the body of an answer to its end. The error is errTruncated if it is broken off or longer than maxAnswer, and
// errOverMemory if there is no memory for it.
func readAnswer(upstream *backend.Exchange, memory *buffers.Account) (net.Buffers, error) {
	var body net.Buffers
	size := 0
	for {
		// The first piece is small, since most answers are.
		piece := make([]byte, min(answerChunk, max(streamBuffer, size)))
		if !memory.Add(fleet.Bytes(len(piece))) {
			return nil, errOverMemory
		}
		n, err := io.ReadFull(upstream, piece)
		body, size = append(body, piece[:n]), size+n
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && upstream.IsComplete():
			return body, nil
		case err != nil, size > maxAnswer:
			return nil, errTruncated
		}
	}
}

func sizeOf(body net.Buffers) (n int) {
	for _, piece := range body {
		n += len(piece)
	}
	return n
}

// callerDisconnected reports whether the caller has closed its connection.
func (x *exchange) callerDisconnected() bool {
	return errors.Is(x.ctx.Err(), context.Canceled) && !errors.Is(context.Cause(x.ctx), errStopping)
}

// failureOutcome returns the outcome of a failed attempt: Withdrawn if the request was cancelled, since that is no failure of the
// server, else o.
func (x *exchange) failureOutcome(o balance.Outcome) balance.Outcome {
	if errors.Is(x.ctx.Err(), context.Canceled) {
		return balance.Withdrawn
	}
	return o
}

// promisesNotRun reports whether callers take a status for the promise that their request was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// receive reads and forwards an answer whose headers have arrived, or returns an error if the answer can't be forwarded.
func (x *exchange) receive(upstream *backend.Exchange, ticket *balance.Ticket, memory *buffers.Account) (int, balance.Outcome, error) {
	head := x.proxy.cfg.Dialect.Answer(&upstream.Response.Header)
	status := upstream.Response.StatusCode()
	success := status >= 200 && status < 300
	if (head.NotRun || head.Misdirected) && !success {
		// The body is read so that the connection can be reused.
		upstream.Discard(maxRejectionBytes, rejectionTimeout)
		if head.Misdirected && head.Instance != "" && head.Instance != ticket.Instance {
			// Another server has the address now.
			return status, balance.Unconnected, errNotRun
		}
		return status, balance.Refused, errNotRun
	}
	x.markMayHaveRun(x.server)
	switch {
	case promisesNotRun(status):
		return status, balance.Failed, errNoStatement
	case success && head.NotRun:
		upstream.Abort()
		return status, x.failureOutcome(balance.Lost), errContradictory
	case success && !head.Signed:
		upstream.Abort()
		return status, x.failureOutcome(balance.Lost), errUnsigned
	}
	if success && x.route.Kind == routes.Streaming {
		return x.forwardStream(upstream, ticket, status, memory)
	}
	if x.stream.headersSent {
		return status, balance.Failed, errFailed
	}
	body, err := readAnswer(upstream, memory)
	if err != nil {
		upstream.Abort()
		return status, x.failureOutcome(balance.Lost), err
	}
	x.proxy.view.firstByte(ticket)
	out := balance.Answered
	a := &answer{body: body, memory: memory}
	copyHeader(&a.header, &upstream.Response.Header)
	a.header.SetContentLength(sizeOf(body))
	if n := upstream.Response.Header.ContentLength(); x.conn.isHead && n > 0 {
		a.header.SetContentLength(n)
	}
	if status >= 500 {
		out = balance.Failed
		if x.mayRetry(errFailed) && x.proxy.view.otherServerExists(x.service, &x.req, x.constraint(x.triedServers)) {
			x.keepFailed(a)
			return status, out, errFailed
		}
	}
	x.conn.write(&a.header, body...)
	return status, out, nil
}
