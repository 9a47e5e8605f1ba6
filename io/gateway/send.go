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

// send sends the request to one server and forwards its answer. The caller has a complete answer if the error is nil.
func (x *exchange) send(c *selection) (int, balance.Outcome, error) {
	in, ticket := c.instance, c.ticket
	x.server = in
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.callerRequest.Header.CopyTo(&req.Header)
	req.SetBodyRaw(x.callerRequest.Body())
	left := time.Until(x.deadline)
	x.proxy.cfg.Dialect.SetForwardHeaders(&req.Header, ForwardInfo{
		Instance: in.ID, Deadline: left, Priority: x.priority(), LastEvent: x.stream.lastEventID,
		PrefixSource: c.prefixSource, HidesKey: x.hidesKey, Account: accounts.Name(x.account),
	})
	// When the context ends, the connection is closed, which makes the server cancel the request.
	ctx, stop := x.watchStall(in.ID)
	defer stop()
	permitted := true
	upstream, err := x.proxy.cfg.Pool.Do(ctx, in.Address, req, backend.Options{
		IdleTimeout: left + time.Second, NoRetry: !x.route.Idempotent(), DialTimeout: connectTimeout,
		// A connection that has carried this request may hold a second copy of the refusal, which bears the request's id. A trial is sent
		// once, so that a connection that the server has closed meanwhile would waste it.
		NewConnection: x.sentTo[in.Address] || x.isTrial,
		BeforeRepeat:  func() bool { return x.beforeRepeat(c) },
		Match: func(h *fasthttp.ResponseHeader) backend.Match {
			a := x.proxy.cfg.Dialect.Answer(h)
			x.observe(in, a)
			return backend.MatchID(a.ID, x.info.ID)
		},
		Permitted: func() bool {
			permitted, x.sentAt = x.proxy.view.maySend(c), time.Now()
			return permitted
		},
	})
	switch {
	case backend.IsNotSent(err) && !permitted:
		return 0, balance.Withdrawn, err
	case backend.IsNotSent(err):
		return 0, x.failureOutcome(balance.Unconnected), err
	}
	x.markSent(in)
	if err != nil {
		x.markMayHaveRun(in)
		return 0, x.failureOutcome(balance.Lost), err
	}
	defer upstream.Close()
	endAttempt := x.endAttempt
	memory := x.proxy.cfg.Buffers.Open(func() { endAttempt(errOverMemory) })
	status, out, err := x.receive(upstream, ticket, memory)
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
