package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/io/backend"
)

// successor is an attempt to let another server go on with a stream.
type successor struct {
	c            selection
	transmission *transmission
	// upstream is the answer of a server that has accepted the request; nil if it has not.
	upstream *backend.Exchange
	// ctx is the context of the attempt, which end ends with a cause.
	ctx   context.Context
	end   context.CancelCauseFunc
	began time.Time
	// sent is set if the server may have received the request, mayHaveRun if it may have run it.
	sent, mayHaveRun bool
	// attempt is the record of an attempt that was not accepted.
	attempt attempt
}

// trySuccessor sends the request to a server that was not tried, which is to go on behind an event. It returns nil if there is none or the
// retry budget is used up. It may be called while the exchange reads the answer of another server.
func (x *exchange) trySuccessor(ctx context.Context, end context.CancelCauseFunc, tried map[fleet.BackendID]bool, lastEvent string) *successor {
	v, r := x.proxy.view, x.req
	k := x.constraint(tried)
	k.unlimited = true
	if !v.otherServerExists(x.service, &r, k) || v.refuses(x.contents()) {
		return nil
	}
	c := v.pick(ctx, x.service, &r, k)
	if c.instance == nil {
		return nil
	}
	if !v.spendRetry(x.service) {
		v.endRequest(&c, balance.Withdrawn)
		return nil
	}
	s := &successor{c: c, ctx: ctx, end: end, began: time.Now()}
	s.transmission = x.newTransmission(&s.c, lastEvent)
	// An earlier refusal may have been kept for its connection.
	upstream, err := s.transmission.send(ctx, backend.Options{NoRetry: true, NewConnection: true})
	status, out, err := x.judgeSuccessor(s, upstream, err)
	if err == nil {
		s.upstream = upstream
		return s
	}
	v.endRequest(&s.c, out)
	s.transmission.release()
	s.attempt = attempt{c.instance.ID, c.instance.Software, out, status, c.choice, c.limit, time.Since(s.began), err}
	return s
}

// judgeSuccessor returns nil if a server has accepted the request. Otherwise it ends the answer and returns its status, the outcome and an error.
func (x *exchange) judgeSuccessor(s *successor, upstream *backend.Exchange, err error) (int, balance.Outcome, error) {
	v, in := x.proxy.view, s.c.instance
	if backend.IsNotSent(err) {
		v.recordRejection(in, x.req.Target, busyRetryDelay)
		return 0, s.outcome(balance.Unconnected), err
	}
	s.sent = true
	if err != nil {
		// A connection that this host has closed before the answer began ends a request that waits or whose prompt is read.
		s.mayHaveRun = s.ctx.Err() == nil
		if s.mayHaveRun && errorx.IsOfType(err, backend.ErrLost) {
			v.checkCrash(in, x.contents(), x.info, false)
		}
		return 0, s.outcome(balance.Lost), err
	}
	head, status := x.proxy.cfg.Dialect.Answer(&upstream.Response.Header), upstream.Response.StatusCode()
	switch {
	case status == fasthttp.StatusOK && head.Signed && !head.NotRun && isEventStream(&upstream.Response.Header):
		return status, balance.Answered, nil
	case (head.NotRun || head.Misdirected) && status >= fasthttp.StatusMultipleChoices:
		upstream.Discard(maxRejectionBytes, rejectionTimeout)
		upstream.Close()
		v.recordRejection(in, x.req.Target, rejectionDelay(status))
		return status, balance.Refused, errNotRun
	}
	upstream.Abort()
	s.mayHaveRun = true
	return status, balance.Failed, errNotResumed
}

// outcome returns the outcome of a failed attempt: Withdrawn if this host has ended it.
func (s *successor) outcome(o balance.Outcome) balance.Outcome {
	if s.ctx.Err() != nil {
		return balance.Withdrawn
	}
	return o
}

// abandon ends an attempt that has been accepted but isn't needed. It does nothing for others.
func (s *successor) abandon() {
	if s.upstream == nil {
		return
	}
	s.upstream.Abort()
	s.upstream, s.mayHaveRun = nil, true
	s.transmission.x.proxy.view.endRequest(&s.c, balance.Withdrawn)
	s.transmission.release()
	s.attempt = attempt{s.c.instance.ID, s.c.instance.Software, balance.Withdrawn, fasthttp.StatusOK, s.c.choice, s.c.limit, time.Since(s.began), errNotNeeded}
}

// errNotNeeded ends an attempt at a server that was to go on with a stream, since the server before has gone on itself.
var errNotNeeded = Errors.NewType("not-needed").New("the server before has gone on with the stream")

// recordSuccessor records an attempt at a successor that has ended.
func (x *exchange) recordSuccessor(s *successor) {
	x.attempts = append(x.attempts, s.attempt)
	if s.sent {
		x.sentTo[s.c.instance.Address] = true
	}
	if s.mayHaveRun {
		x.markSent(s.c.instance)
		x.markMayHaveRun(s.c.instance)
	}
}

// takeSuccessor returns the server that has accepted to go on with the stream, or nil.
func (x *exchange) takeSuccessor() *successor {
	s := x.successor
	x.successor = nil
	return s
}

// dropSuccessor ends the attempt of a server that has accepted to go on with a stream which has ended.
func (x *exchange) dropSuccessor() {
	if s := x.takeSuccessor(); s != nil {
		s.abandon()
		s.end(nil)
		x.recordSuccessor(s)
	}
}

// goOn forwards the answer of a successor.
func (x *exchange) goOn(s *successor) (status int, out balance.Outcome, err error) {
	defer s.end(nil)
	defer s.transmission.release()
	x.server = s.c.instance
	x.markSent(s.c.instance)
	stop := x.watchStall(s.c.instance.ID, s.end)
	defer func() { stop(err != nil) }()
	return x.receiveFrom(s.ctx, s.end, &s.c, s.upstream)
}
