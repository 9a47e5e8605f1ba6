package gateway

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/balance"
	"toucanway/core/buffers"
	"toucanway/core/crashes"
	"toucanway/core/fleet"
	"toucanway/core/quota"
	"toucanway/core/registry"
	"toucanway/core/routes"
	"toucanway/io/backend"
)

// logRequest is the message of the log line that each request gets.
const logRequest = "request ended"

// proxy forwards requests to backend servers.
type proxy struct {
	cfg     Settings
	view    *View
	metrics counters
	// drain is set once the host is asked to stop.
	drain atomic.Pointer[drainTimes]
}

// drainTimes are the times of a stop after which requests are refused as not run, since their answers may come after its end.
type drainTimes struct {
	// readUntil is the time until which a request must have been read, sendUntil the one until which it must be sent to a server.
	readUntil, sendUntil time.Time
}

// exchange is one request of a caller with its state.
type exchange struct {
	proxy         *proxy
	ctx           context.Context
	conn          *conn
	callerRequest *fasthttp.Request
	info          RequestInfo
	route         *routes.Route
	// account is the client account in whose name the request is sent, nil if there is none. It is set before a server is chosen.
	account *routes.Account
	// hidesKey is set if the configuration has client accounts, so that the caller's key is not forwarded.
	hidesKey bool
	// charged is what the request was charged under the quota of its account.
	charged quota.Ticket
	// refusalCode is the code of this host's refusal, empty if there is none.
	refusalCode string
	service     fleet.ServiceID
	// req describes the request for the choice of a server.
	req   balance.Request
	began time.Time
	// deadline is the earlier of the caller's deadline and the end of the route's timeout.
	deadline time.Time

	// triedServers holds the servers to which the request was sent; all sends but the first are charged to the retry budget.
	triedServers map[fleet.BackendID]bool
	// ranAt holds those of triedServers that may have run the request. No later failure or rejection removes one.
	ranAt map[fleet.BackendID]bool
	// sentTo holds the addresses to which the request was sent; two servers have one address if the later one took it over.
	sentTo map[string]bool
	stream streamState
	// server is the server to which the request was sent last.
	server *registry.Instance
	// software is the software version of the servers that can go on with the stream, once that is settled.
	software atomic.Pointer[fleet.SoftwareVersion]
	// stall watches the present attempt at a stream; nil if no other server could go on with it.
	stall *stallWatch
	// successor is the server that has accepted to go on with the stream; nil if there is none.
	successor *successor
	// endsWithConnection is set if the last answer had no end of its own.
	endsWithConnection bool
	// failure is the reason why no server has answered successfully, for the log.
	failure error
	// failedAnswer is a failed answer of a backend server, which is forwarded if no other server answers.
	failedAnswer *answer
	// waitTime is the time that the request has waited for a server that can take it.
	waitTime time.Duration
	attempts []attempt
	// isTrial is set if the request has listed content and runs as a trial.
	isTrial bool
	// limitedUntil is the time at which a server with a rate limit takes the request again, if it was refused for lack of one.
	limitedUntil time.Time
	// waiter is the request as far as it may have to wait for room, returnIn the delay that its caller was told if there was none.
	waiter   waiter
	returnIn time.Duration
	// listed is the content because of which the request was refused, or nil.
	listed *crashes.Content
}

// answer is a complete answer of a backend server.
type answer struct {
	header fasthttp.ResponseHeader
	body   net.Buffers
	// memory is the account of the body.
	memory *buffers.Account
}

// attempt is one attempt to serve the request at a server, for the log.
type attempt struct {
	instance fleet.BackendID
	software fleet.SoftwareVersion
	outcome  balance.Outcome
	status   int
	choice   balance.Choice
	// limit is the rate limit of the server when it was chosen.
	limit    fleet.RateLimit
	duration time.Duration
	err      error
}

// handle serves one request and writes one log line.
func (p *proxy) handle(ctx context.Context, c *conn, in *fasthttp.Request) {
	x := &exchange{
		proxy: p, ctx: ctx, conn: c, callerRequest: in, info: p.cfg.Dialect.Request(&in.Header), began: time.Now(),
		triedServers: map[fleet.BackendID]bool{}, ranAt: map[fleet.BackendID]bool{}, sentTo: map[string]bool{},
	}
	status, cause := x.serve()
	if x.failedAnswer != nil {
		x.failedAnswer.memory.Close()
	}
	x.refundQuota()
	x.log(status, cause)
}

// serve serves the request and returns the status of its answer, or 0 if no answer was completed, and the cause.
func (x *exchange) serve() (int, string) {
	if d := x.proxy.drain.Load(); d != nil && x.began.After(d.readUntil) {
		return x.refuseAsDraining()
	}
	t := x.proxy.view.awaitTable(x.ctx, configurationTimeout)
	if t == nil {
		return x.refuse(fasthttp.StatusServiceUnavailable, "configuration-unknown", "no configuration is in force yet; retry shortly")
	}
	t, refused := x.enter(t)
	if refused != nil {
		return x.refuse(refused.status, refused.code, refused.message)
	}
	if x.info.ID == "" {
		return x.refuse(fasthttp.StatusBadRequest, "no-request-id", "the request has no id; send one with each attempt")
	}
	x.deadline = x.began.Add(x.route.Timeout)
	if d := x.info.Deadline; d > 0 && d < x.route.Timeout {
		x.deadline = x.began.Add(d)
	}
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	x.service = x.route.PickService(rand.Float64())
	if x.isTakenUp() {
		if err := x.bindToOrigin(); err != nil {
			return x.fail(err)
		}
	}
	svc := t.Configuration.Service(x.service)
	x.req = balance.Request{
		Target: x.info.Target, Prompt: x.info.Prompt, Output: x.info.Output, Parts: x.info.Parts, Objective: x.route.Objective, Size: fleet.Bytes(len(x.callerRequest.Body())),
		LatestStart: x.latestStart(),
		Plain:       svc == nil || svc.Engine == nil || x.info.Target.Model == "",
	}
	if x.req.Plain {
		x.req.Target = fleet.Target{}
	} else {
		x.req.KVCapacity, x.req.FetchesPrefixes = svc.Engine.KVCapacity, svc.Engine.FetchesPrefixes
	}
	if status, cause, ok := x.chargeQuota(); !ok {
		return status, cause
	}
	x.waiter = x.newWaiter()
	x.proxy.view.recordArrival(x.service, &x.req)
	removeHopHeaders(&x.callerRequest.Header)
	return x.runAttempts()
}

// matchRoute sets the route of the request and returns the configuration that has it. Without a route it reports whether the
// configuration is known to be the newest one.
func (x *exchange) matchRoute(t *table) (*table, bool) {
	if x.route = x.match(t); x.route != nil {
		return t, true
	}
	// A newer version may have come into force since the first look.
	newest, confirmed := x.proxy.view.confirmedTable()
	x.route = x.match(newest)
	return newest, confirmed
}

// match returns the route of the request in a configuration, or nil.
func (x *exchange) match(t *table) *routes.Route {
	h := &x.callerRequest.Header
	path, _, _ := bytes.Cut(h.RequestURI(), []byte{'?'})
	return t.MatchBytes(h.Host(), path)
}

// runAttempts sends the request to one server after the other until an answer is complete or no further attempt is allowed.
func (x *exchange) runAttempts() (int, string) {
	if err := x.checkListed(); err != nil {
		return x.fail(err)
	}
	defer x.dropSuccessor()
	for {
		if s := x.takeSuccessor(); s != nil {
			status, err := x.finishAttempt(&s.c, s.began, func() (int, balance.Outcome, error) { return x.goOn(s) })
			if err == nil {
				return status, "answered"
			}
			if err = x.afterFailure(&s.c, status, err); err != nil {
				return x.fail(err)
			}
			continue
		}
		c, err := x.choose()
		if err != nil {
			return x.fail(err)
		}
		if err := x.checkListed(); err != nil {
			x.proxy.view.endRequest(&c, balance.Withdrawn)
			return x.fail(err)
		}
		if d := x.proxy.drain.Load(); d != nil && !x.mayHaveRun() && time.Now().After(d.sendUntil) {
			x.proxy.view.endRequest(&c, balance.Withdrawn)
			return x.refuseAsDraining()
		}
		if len(x.triedServers) > 0 && !x.proxy.view.spendRetry(x.service) {
			x.proxy.view.endRequest(&c, balance.Withdrawn)
			return x.fail(errBudget)
		}
		status, err := x.finishAttempt(&c, time.Now(), func() (int, balance.Outcome, error) { return x.send(&c) })
		if err == nil {
			return status, "answered"
		}
		if err = x.afterFailure(&c, status, err); err != nil {
			return x.fail(err)
		}
	}
}

// finishAttempt makes an attempt at a server and records it. The caller has a complete answer if the error is nil.
func (x *exchange) finishAttempt(c *selection, began time.Time, f func() (int, balance.Outcome, error)) (int, error) {
	status, out, err := f()
	x.proxy.view.endRequest(c, out)
	x.recordEvidence(c.instance, status, out, err)
	x.attempts = append(x.attempts, attempt{c.instance.ID, c.instance.Software, out, status, c.choice, c.limit, time.Since(began), err})
	return status, err
}

// afterFailure returns nil if another attempt is allowed after a failed one, else the reason for the end of the request.
func (x *exchange) afterFailure(c *selection, status int, err error) error {
	if x.ctx.Err() != nil {
		return x.ctx.Err()
	}
	if !x.mayRetry(err) {
		return err
	}
	if errors.Is(err, errNotRun) || backend.IsNotSent(err) {
		x.proxy.view.recordRejection(c.instance, x.req.Target, rejectionDelay(status))
	}
	return nil
}

// rejectionDelay returns the time for which a server gets no requests for a target that it has rejected with a status.
func rejectionDelay(status int) time.Duration {
	if status == fasthttp.StatusMisdirectedRequest {
		return notLoadedRetryDelay
	}
	return busyRetryDelay
}

// Reasons why an attempt or the request failed.
var (
	errBudget   = Errors.NewType("budget").New("the allowance for repeats is used up")
	errNotRun   = Errors.NewType("not-run").New("the backend server did not run the request")
	errFailed   = Errors.NewType("failed").New("the backend server failed")
	errUnsigned = Errors.NewType("unsigned").New("the answer lacks the backend server's response stamp")
	// errNoStatement keeps a status from callers that they would take for a promise that the server has not given.
	errNoStatement   = Errors.NewType("no-statement").New("the backend server refused without saying that the request was not run")
	errContradictory = Errors.NewType("contradictory").New("the answer is a success and says that the request was not run")
	errTruncated     = Errors.NewType("cut").New("the answer was truncated")
	errEventOrder    = Errors.NewType("order").New("the events of the answer are out of order")
	errNoEvent       = Errors.NewType("no-event").New("the stream has lines that are no fields of an event")
	errNotResumed    = Errors.NewType("not-resumed").New("the answer doesn't go on with the stream")
	errOverMemory    = Errors.NewType("over-memory").New("there was no memory for the answer")
	errStalled       = Errors.NewType("stalled").New("the stream made no event for too long")
	errStopping      = Errors.NewType("stopping").New("this host is shutting down")
	errPaused        = Errors.NewType("paused").New("all backend servers that could take the request want none for longer than it can wait")
	errLimited       = Errors.NewType("limited").New("the rate limits of all backend servers that could take the request are used up")
	errNoServer      = Errors.NewType("no-server").New("no backend server can take the request")
)

// maxNotRun is the number of rejections, beyond the route's MaxAttempts, after which a request is refused.
const maxNotRun = 4

// mayRetry reports whether another attempt is allowed after a failed one.
func (x *exchange) mayRetry(err error) bool {
	switch {
	case errors.Is(err, errNotRun):
		// A server that rejects a repeat may have run the request before.
		return len(x.attempts) < maxNotRun+x.route.MaxAttempts && len(x.ranAt) < x.route.MaxAttempts && !x.stream.headersSent
	case backend.IsNotSent(err):
		return true
	case !x.route.Idempotent(), x.stream.unidentified, x.isTrial:
		return false
	default:
		return len(x.triedServers) < x.route.MaxAttempts
	}
}
