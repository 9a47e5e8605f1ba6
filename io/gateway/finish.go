package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"toucanway/core/accounts"
	"toucanway/core/holdoff"
	"toucanway/io/logs"
)

// fail ends a request that no server has answered successfully. It writes an answer, or closes the connection if a stream has
// begun or the caller has disconnected. It returns the status, 0 without an answer, and the cause for the log.
//
// An answer has a text for its code: an error may name servers, or quote bytes of theirs, which may belong to another caller.
func (x *exchange) fail(err error) (int, string) {
	x.failure = err
	if x.stream.headersSent {
		x.conn.abort()
		return 0, "stream broken"
	}
	if x.callerDisconnected() {
		x.conn.abort()
		return 0, "caller left"
	}
	if x.failedAnswer != nil {
		x.conn.write(&x.failedAnswer.header, x.failedAnswer.body...)
		return x.failedAnswer.header.StatusCode(), "failed answer of a backend server forwarded"
	}
	poisoned, _ := errors.AsType[*poisonError](err)
	late := errors.Is(err, context.DeadlineExceeded)
	switch {
	case errors.Is(context.Cause(x.ctx), errStopping) && !x.mayHaveRun():
		return x.refuseAsDraining()
	case errors.Is(err, errOverMemory):
		return x.refuse(fasthttp.StatusBadGateway, "answer-over-memory",
			"the answer of the backend server took more memory than this host has for answers; the request may have run")
	case x.mayHaveRun() && late:
		return x.refuse(fasthttp.StatusGatewayTimeout, "deadline-exceeded", "no answer arrived before the deadline; the request may have run")
	case x.mayHaveRun():
		return x.refuse(fasthttp.StatusBadGateway, "backend-failed",
			"the backend server gave no complete answer; the request may have run: send it again only if it may run twice")
	case poisoned != nil:
		x.listed = &poisoned.listing.Content
		return x.refuseFor(max(poisoned.listing.Left, poisonRetryAfter), poisonRequest, poisoned.Error()+"; it was not run")
	case late:
		return x.refuseForLackOfServers("deadline-exceeded", "no backend server could take the request before the deadline; it was not run")
	case errors.Is(err, errUnknownOrigin), errors.Is(err, errNoSoftware):
		return x.refuse(fasthttp.StatusServiceUnavailable, "stream-not-resumable",
			"no server that can go on with the stream is known; the request was not run: send it again later, or without the last event for a new stream")
	case errors.Is(err, errLimited):
		return x.refuseFor(holdoff.ReturnDelay(time.Until(x.limitedUntil), rand.Float64()), "rate-limited",
			"the rate limits of all backend servers that could take the request are used up; it was not run: send it again after the given time")
	case errors.Is(err, errOverloaded):
		return x.refuseAsOverloaded()
	case errors.Is(err, errPaused):
		return x.refuseForLackOfServers("servers-paused",
			"the backend servers that could take the request want none for now; it was not run: send it again after the given time")
	default:
		return x.refuseForLackOfServers("no-capacity", "no backend server took the request; it was not run: send it again after the given time")
	}
}

// refuse answers the request with a refusal from this host.
func (x *exchange) refuse(status int, code, message string) (int, string) {
	delay := time.Duration(0)
	if status == fasthttp.StatusServiceUnavailable {
		delay = retryAfter
	}
	return x.refuseWith(status, delay, code, message)
}

// refuseAsDraining refuses a request, which was not run, since this host is shutting down.
func (x *exchange) refuseAsDraining() (int, string) {
	return x.refuse(fasthttp.StatusServiceUnavailable, "host-draining", "this host is shutting down and did not run the request; use another host")
}

// refuseForLackOfServers answers the request, which was not run, with a refusal that says when a server can take it.
func (x *exchange) refuseForLackOfServers(code, message string) (int, string) {
	return x.refuseFor(x.proxy.view.returnDelay(x.service, &x.req, x.constraint(nil)), code, message)
}

// refuseFor refuses a request that was not run, and asks the caller not to send it again before the delay is over.
func (x *exchange) refuseFor(delay time.Duration, code, message string) (int, string) {
	return x.refuseWith(fasthttp.StatusServiceUnavailable, delay, code, message)
}

// refuseWith refuses a request with a status, a code and the delay after which the caller may send it again; 0 for none.
func (x *exchange) refuseWith(status int, delay time.Duration, code, message string) (int, string) {
	x.refusalCode = code
	x.conn.refuse(refusal{status: status, code: code, message: message, retryDelay: delay, id: string(x.info.ID)})
	return status, code
}

// log writes the log line of the request and updates the metrics.
func (x *exchange) log(status int, cause string) {
	took := time.Since(x.began)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.proxy.metrics.requests.With(route, outcomeClass(status)).Inc(1)
	x.proxy.metrics.latency.With(route).Update(int64(took))
	account := string(accounts.Name(x.account))
	if x.hidesKey && x.refusalCode != "" {
		x.proxy.metrics.refusals.With(account, x.refusalCode).Inc(1)
	}
	if account != "" {
		x.proxy.metrics.accountLatency.With(account).Update(int64(took))
	}
	fields := []zap.Field{
		zap.String("request", string(x.info.ID)), zap.String("route", route), zap.Int("status", status), zap.String("cause", cause),
		zap.Duration("took-ms", took), zap.Duration("deadline-ms", x.info.Deadline),
	}
	if x.hidesKey {
		fields = append(fields, zap.String("account", account))
	}
	if x.req.Target.Model != "" {
		fields = append(fields, zap.String("model", string(x.req.Target.Model)), zap.String("adapter", string(x.req.Target.Adapter)),
			zap.Int64("prompt", int64(x.info.Prompt)), zap.Int("events", x.stream.eventCount), zap.Duration("first-ms", x.stream.firstEventTime),
			zap.Duration("gap-ms", x.stream.longestGap))
	}
	if x.failure != nil {
		fields = append(fields, logs.ErrorField(x.failure))
	}
	if x.info.LastEvent != "" {
		fields = append(fields, zap.String("resumes", string(x.info.Resumes)), zap.String("last-event", x.info.LastEvent))
	}
	if status >= 400 {
		version, age := x.proxy.view.configurationAge()
		fields = append(fields, zap.Uint64("configuration", uint64(version)), zap.Duration("view-age-ms", age))
	}
	if x.listed != nil {
		fields = append(fields, zap.Stringer("content", *x.listed))
	}
	if x.waitTime > 0 {
		fields = append(fields, zap.Duration("waited-ms", x.waitTime))
	}
	if x.waiter.caller != nil {
		fields = append(fields, x.overloadFields()...)
	}
	if len(x.attempts) > 0 {
		fields = append(fields, zap.Array("steps", attempts(x.attempts)))
	}
	x.proxy.cfg.Log.Info(logRequest, fields...)
}

func outcomeClass(status int) string {
	switch {
	case status == 0:
		return "broken"
	case status < 300:
		return "answered"
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusTooManyRequests:
		return "refused"
	default:
		return "failed"
	}
}
