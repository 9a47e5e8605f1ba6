package dispatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/ledger"
	"toucanway/core/pause"
	"toucanway/io/backend"
	"toucanway/io/callers"
	"toucanway/io/services"
)

const (
	// nonIdempotentTimeout bounds a non-idempotent call, which continues after its caller's deadline.
	nonIdempotentTimeout = 2 * time.Minute
	// minResultInterval and maxResultInterval bound the interval at which the ledger is asked for the outcome of another attempt.
	minResultInterval = 50 * time.Millisecond
	maxResultInterval = time.Second
	// ledgerTimeout bounds a commit to the ledger after the end of a call.
	ledgerTimeout = 10 * time.Second
	// serviceRetryAfter is the delay before a retry that refusals of service calls suggest.
	serviceRetryAfter = time.Second
)

// Call carries out a call of a plain service. Non-idempotent calls go through the ledger.
func (d *Dispatcher) Call(ctx context.Context, c *callers.ServiceCall) (*callers.ServiceAnswer, *fleet.Refusal) {
	doc, r := d.admit()
	if r != nil {
		return nil, r
	}
	svc, ok := doc.Service(c.Service)
	if !ok {
		return nil, fleet.Refuse(fleet.CodeUnknownService, 0, "no service %s is declared; see the configuration document", c.Service)
	}
	deadline := time.Now().Add(deadlineOf(doc, c.Deadline))
	defer d.requests.begin()()
	path, _, _ := strings.Cut(c.Path, "?")
	if svc.Idempotent(c.Method, path) {
		return d.callIdempotent(ctx, doc, c, deadline)
	}
	return d.callNonIdempotent(ctx, c, deadline)
}

// callIdempotent tries one backend server after another, within the tenant's retry budget.
func (d *Dispatcher) callIdempotent(ctx context.Context, doc *config.Document, c *callers.ServiceCall, deadline time.Time) (*callers.ServiceAnswer, *fleet.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	d.policy.addRequest(time.Now(), c.Identity.Tenant)
	tried := map[fleet.BackendID]bool{}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		b, ok := d.chooseService(c.Service, tried)
		if !ok {
			return nil, d.serviceRefusal(ctx, c, mayHaveRun)
		}
		tried[b.ID] = true
		a, err := d.callBackend(ctx, b, c, false, time.Until(deadline))
		if err == nil {
			return a, nil
		}
		d.logFailure(c.ID, err)
		mayHaveRun = mayHaveRun || !errorx.IsOfType(err, backend.ErrNotSent)
		if ctx.Err() != nil || attempt >= doc.Limits.MaxAttempts || !d.policy.spend(time.Now(), c.Identity.Tenant) {
			return nil, d.serviceRefusal(ctx, c, mayHaveRun)
		}
	}
}

func (d *Dispatcher) serviceRefusal(ctx context.Context, c *callers.ServiceCall, mayHaveRun bool) *fleet.Refusal {
	r := fleet.Refuse(fleet.CodeNoCapacity, serviceRetryAfter, "no backend server of service %s could be reached; send the call again", c.Service)
	if mayHaveRun {
		r = fleet.Refuse(fleet.CodeBackendFailed, serviceRetryAfter, "the backend servers of service %s returned no complete answer; send the call again", c.Service)
		r.Execution = fleet.MayHaveRun
	}
	if ctx.Err() != nil {
		r.Code = fleet.CodeDeadlineExceeded
	}
	return r
}

// callNonIdempotent commits the dispatch to the ledger before the call is sent, and the answer before it is returned. Once sent,
// the call continues even if its caller disconnects, so that a repetition gets its answer.
func (d *Dispatcher) callNonIdempotent(ctx context.Context, c *callers.ServiceCall, deadline time.Time) (*callers.ServiceAnswer, *fleet.Refusal) {
	o := &nonIdempotentCall{
		d: d, call: c, deadline: deadline, keyed: c.Key != "",
		key:         ledger.Key{Tenant: c.Identity.Tenant, Key: c.Key},
		fingerprint: callFingerprint(c),
		attempt:     d.cfg.Ledger.NewAttempt(d.cfg.Host, d.cfg.Follower.Incarnation()),
	}
	if !o.keyed {
		o.key.Key = "request:" + string(c.ID)
	}
	done := make(chan callResult, 1)
	finish := d.requests.begin()
	if !d.jobs.Run(func(jobCtx context.Context) {
		defer finish()
		done <- o.run(jobCtx, ctx)
	}) {
		finish()
		return nil, fleet.Refuse(fleet.CodeHostDraining, serviceRetryAfter, "the host is shutting down; use another host")
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case res := <-done:
		return res.answer, res.refusal
	case <-ctx.Done():
	case <-t.C:
	}
	return o.atDeadline(done)
}

type callResult struct {
	answer  *callers.ServiceAnswer
	refusal *fleet.Refusal
}

// nonIdempotentCall is one attempt to carry out a non-idempotent call.
type nonIdempotentCall struct {
	d        *Dispatcher
	call     *callers.ServiceCall
	deadline time.Time
	// keyed is set if the caller sent an Idempotency-Key; otherwise the key is made from the request id.
	keyed       bool
	key         ledger.Key
	fingerprint fleet.Fingerprint
	attempt     ledger.Attempt
}

// atDeadline returns the result if it has arrived. Otherwise it returns the refusal for a caller whose deadline has passed or
// that has disconnected while the attempt continues.
func (o *nonIdempotentCall) atDeadline(done <-chan callResult) (*callers.ServiceAnswer, *fleet.Refusal) {
	select {
	case res := <-done:
		return res.answer, res.refusal
	default:
		return nil, &fleet.Refusal{
			Code: fleet.CodeStillRunning, Execution: fleet.Running, RetryAfter: serviceRetryAfter,
			Message: "the call has no outcome yet; send it again with the same Idempotency-Key to get its answer",
		}
	}
}

// run commits the dispatch and sends the call, or waits for the outcome of another attempt. The context caller ends when the
// caller disconnects.
func (o *nonIdempotentCall) run(ctx, caller context.Context) callResult {
	waitCtx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	interval := minResultInterval
	for {
		res, err := o.commitAndCount(waitCtx, &ledger.Dispatch{Key: o.key, Fingerprint: o.fingerprint, Attempt: o.attempt})
		if err != nil {
			return o.abandon(ctx, fleet.CodeLedgerUnavailable, "the ledger cannot be reached")
		}
		switch res.Verdict {
		case ledger.VerdictAccepted:
			if caller.Err() != nil {
				return o.abandon(ctx, fleet.CodeDeadlineExceeded, "the caller disconnected")
			}
			return o.dispatch(ctx)
		case ledger.VerdictRunning:
			if pause.For(waitCtx, interval) != nil {
				return callResult{refusal: o.refuseForOtherAttempt(fleet.CodeStillRunning, fleet.Running)}
			}
			interval = min(2*interval, maxResultInterval)
		default:
			return o.resultOf(res)
		}
	}
}

// resultOf returns the result for a verdict of the ledger after which the call is not sent.
func (o *nonIdempotentCall) resultOf(res ledger.Result) callResult {
	switch res.Verdict {
	case ledger.VerdictAnswered:
		return storedResult(res.Answer)
	case ledger.VerdictUnknown:
		return callResult{refusal: o.refuseForOtherAttempt(fleet.CodeOutcomeUnknown, fleet.MayHaveRun)}
	case ledger.VerdictMismatch:
		return callResult{refusal: fleet.Refuse(fleet.CodeIdempotencyMismatch, 0,
			"the Idempotency-Key was used with another body; use a new key for a new request")}
	case ledger.VerdictFull:
		return callResult{refusal: fleet.Refuse(fleet.CodeLedgerFull, serviceRetryAfter,
			"the ledger holds its maximum of records; ask the operators to raise limits.ledger-records")}
	case ledger.VerdictRunning, ledger.VerdictAccepted, ledger.VerdictAbandoned, ledger.VerdictStale:
		return callResult{refusal: o.refuseForOtherAttempt(fleet.CodeLedgerUnavailable, fleet.MayHaveRun)}
	default:
		panic("dispatch: ledger verdict without a handler")
	}
}

// refuseForOtherAttempt returns a refusal with the execution state of another attempt.
func (o *nonIdempotentCall) refuseForOtherAttempt(code fleet.Code, e fleet.Execution) *fleet.Refusal {
	return &fleet.Refusal{
		Code: code, Execution: e, RetryAfter: serviceRetryAfter,
		Message: "an earlier attempt with this Idempotency-Key determines the outcome; send the call again with the same key to get it",
	}
}

func storedResult(a *ledger.Answer) callResult {
	if a.Dropped {
		return callResult{refusal: &fleet.Refusal{
			Code: fleet.CodeOutcomeUnknown, Execution: fleet.MayHaveRun,
			Message: "the call ran, but its answer was too large to be kept; look up the outcome at the service",
		}}
	}
	return callResult{answer: &callers.ServiceAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}}
}

// abandon refuses the call. It first commits that the attempt is abandoned, after which a dispatch of the same attempt is
// rejected, so that the refusal can say not-run. Without the commit, an earlier attempt under the key may have run.
func (o *nonIdempotentCall) abandon(ctx context.Context, code fleet.Code, reason string) callResult {
	commitCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	r := &fleet.Refusal{
		Code: code, Execution: fleet.MayHaveRun, RetryAfter: serviceRetryAfter,
		Message: reason + "; send the call again with the same Idempotency-Key",
	}
	res, err := o.commitAndCount(commitCtx, &ledger.Abandon{Key: o.key, Fingerprint: o.fingerprint, Attempt: o.attempt})
	switch {
	case !o.keyed:
		// No other attempt can have used the key, and this one was not sent.
		r.Execution = fleet.NotRun
	case err != nil:
	case res.Verdict == ledger.VerdictAccepted:
		r.Execution = fleet.NotRun
	default:
		return o.resultOf(res)
	}
	return callResult{refusal: r}
}

// dispatch sends the call under its committed record.
func (o *nonIdempotentCall) dispatch(ctx context.Context) callResult {
	ctx, cancel := context.WithTimeout(ctx, nonIdempotentTimeout)
	defer cancel()
	tried := map[fleet.BackendID]bool{}
	for {
		b, ok := o.d.chooseService(o.call.Service, tried)
		if !ok {
			return o.abandon(ctx, fleet.CodeNoCapacity, "no backend server of the service can be reached")
		}
		tried[b.ID] = true
		a, err := o.d.callBackend(ctx, b, o.call, true, nonIdempotentTimeout)
		if err == nil {
			return o.complete(ctx, a)
		}
		o.d.logFailure(o.call.ID, err)
		if errorx.IsOfType(err, backend.ErrNotSent) {
			continue
		}
		o.commit(ctx, &ledger.MarkUnknown{Key: o.key, Attempt: o.attempt})
		return callResult{refusal: &fleet.Refusal{
			Code: fleet.CodeOutcomeUnknown, Execution: fleet.MayHaveRun,
			Message: "the call was sent and its answer was lost; look up the outcome at the service before you send it again",
		}}
	}
}

// complete commits the answer before it is returned. An answer that cannot be committed in time is returned anyway, since it is
// correct; a repetition is refused because the outcome is unknown.
func (o *nonIdempotentCall) complete(ctx context.Context, a *callers.ServiceAnswer) callResult {
	o.commit(ctx, &ledger.Complete{Key: o.key, Attempt: o.attempt, Answer: ledger.Answer{
		Status: a.Status, ContentType: a.ContentType, Body: a.Body,
	}})
	return callResult{answer: a}
}

// commitAndCount commits a command to the ledger and counts the verdict.
func (o *nonIdempotentCall) commitAndCount(ctx context.Context, c ledger.Command) (ledger.Result, error) {
	res, err := o.d.cfg.Ledger.Commit(ctx, o.key, c)
	verdict := "no-answer"
	if err == nil {
		verdict = res.Verdict.String()
	}
	o.d.metrics.ledgerVerdicts.With(verdict).Inc(1)
	return res, err
}

func (o *nonIdempotentCall) commit(ctx context.Context, c ledger.Command) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	if _, err := o.d.cfg.Ledger.Commit(ctx, o.key, c); err != nil {
		o.d.metrics.ledgerCommitsLost.With().Inc(1)
	}
}

func callFingerprint(c *callers.ServiceCall) fleet.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{string(c.Identity.Tenant), string(c.Service), c.Method, c.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(c.Body)
	return fleet.Fingerprint(h.Sum64())
}

// callBackend carries out one call at one backend server.
func (d *Dispatcher) callBackend(ctx context.Context, b fleet.Announcement, c *callers.ServiceCall, nonIdempotent bool, idleTimeout time.Duration) (*callers.ServiceAnswer, error) {
	defer d.callsInFlight.begin(b.ID)()
	a, err := d.cfg.Services.Do(ctx, services.Call{
		Address: b.Address, Request: c.ID, Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body,
		NonIdempotent: nonIdempotent, IdleTimeout: idleTimeout,
	})
	if err != nil {
		return nil, err
	}
	return &callers.ServiceAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
}

// chooseService returns the backend server with the fewest calls of this host in flight, at random among equal ones, and false if
// there is none left to try.
func (d *Dispatcher) chooseService(id fleet.ServiceID, tried map[fleet.BackendID]bool) (fleet.Announcement, bool) {
	var best []fleet.Announcement
	least := 0
	d.cfg.Follower.Read(func(s *control.State) {
		for _, b := range s.Backends() {
			a := b.Announcement
			if b.Lost || b.Leaving || a.Kind != fleet.KindService || tried[a.ID] || !offersService(a, id) {
				continue
			}
			n := d.callsInFlight.get(a.ID)
			if len(best) == 0 || n < least {
				best, least = best[:0], n
			}
			if n == least {
				best = append(best, a)
			}
		}
	})
	if len(best) == 0 {
		return fleet.Announcement{}, false
	}
	return best[rand.IntN(len(best))], true
}

func offersService(a fleet.Announcement, id fleet.ServiceID) bool {
	for _, s := range a.Services {
		if s == id {
			return true
		}
	}
	return false
}
