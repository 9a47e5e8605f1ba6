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
	// onceTimeout bounds how long the answer of a call that may not be repeated is waited for after its caller's deadline.
	onceTimeout = 2 * time.Minute
	// resultPause and maxResultPause bound the time between questions for the outcome of another attempt.
	resultPause    = 50 * time.Millisecond
	maxResultPause = time.Second
	// ledgerTimeout bounds the commits after a call ended.
	ledgerTimeout = 10 * time.Second
	// serviceRetry is when a refused call of a service may be tried again.
	serviceRetry = time.Second
)

// Call carries out a call of a plain service. Calls that may not be repeated go through the ledger.
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
		return d.callRepeatable(ctx, doc, c, deadline)
	}
	return d.callOnce(ctx, c, deadline)
}

// callRepeatable tries backend servers in turn within the tenant's retry budget.
func (d *Dispatcher) callRepeatable(ctx context.Context, doc *config.Document, c *callers.ServiceCall, deadline time.Time) (*callers.ServiceAnswer, *fleet.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	d.policy.request(time.Now(), c.Identity.Tenant)
	tried := map[fleet.BackendID]bool{}
	sent := false
	for attempt := 1; ; attempt++ {
		b, ok := d.chooseService(c.Service, tried)
		if !ok {
			return nil, d.serviceRefusal(ctx, c, sent)
		}
		tried[b.ID] = true
		a, err := d.callBackend(ctx, b, c, false, time.Until(deadline))
		if err == nil {
			return a, nil
		}
		sent = sent || !errorx.IsOfType(err, backend.ErrNotSent)
		if ctx.Err() != nil || attempt >= doc.Limits.MaxAttempts || !d.policy.spend(time.Now(), c.Identity.Tenant) {
			return nil, d.serviceRefusal(ctx, c, sent)
		}
	}
}

func (d *Dispatcher) serviceRefusal(ctx context.Context, c *callers.ServiceCall, sent bool) *fleet.Refusal {
	r := fleet.Refuse(fleet.CodeNoCapacity, serviceRetry, "no backend server of service %s could be reached; send the call again", c.Service)
	if sent {
		r = fleet.Refuse(fleet.CodeBackendFailed, serviceRetry, "the backend servers of service %s gave no whole answer; send the call again", c.Service)
		r.Execution = fleet.MayHaveRun
	}
	if ctx.Err() != nil {
		r.Code = fleet.CodeDeadlineExceeded
	}
	return r
}

// callOnce commits the dispatch before the call is sent and its answer before it is given. Once sent, the call goes on
// when its caller goes away, so that a resend finds its answer.
func (d *Dispatcher) callOnce(ctx context.Context, c *callers.ServiceCall, deadline time.Time) (*callers.ServiceAnswer, *fleet.Refusal) {
	o := &once{
		d: d, call: c, deadline: deadline, keyed: c.Key != "",
		key:         ledger.Key{Tenant: c.Identity.Tenant, Key: c.Key},
		fingerprint: callFingerprint(c),
		attempt:     d.cfg.Ledger.NewAttempt(d.cfg.Host, d.cfg.Follower.Incarnation()),
	}
	if !o.keyed {
		o.key.Key = "request:" + string(c.ID)
	}
	done := make(chan onceResult, 1)
	finish := d.requests.begin()
	if !d.jobs.Run(func(jobCtx context.Context) {
		defer finish()
		done <- o.run(jobCtx, ctx)
	}) {
		finish()
		return nil, fleet.Refuse(fleet.CodeHostDraining, serviceRetry, "the host shuts down; use another host")
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

type onceResult struct {
	answer  *callers.ServiceAnswer
	refusal *fleet.Refusal
}

// once is one attempt at a call that may not be repeated.
type once struct {
	d           *Dispatcher
	call        *callers.ServiceCall
	deadline    time.Time
	keyed       bool
	key         ledger.Key
	fingerprint fleet.Fingerprint
	attempt     ledger.Attempt
}

// atDeadline answers a caller whose time is over while the attempt goes on.
func (o *once) atDeadline(done <-chan onceResult) (*callers.ServiceAnswer, *fleet.Refusal) {
	select {
	case res := <-done:
		return res.answer, res.refusal
	default:
		return nil, &fleet.Refusal{
			Code: fleet.CodeStillRunning, Execution: fleet.Running, RetryAfter: serviceRetry,
			Message: "the call has no outcome yet; send it again with the same Idempotency-Key to get its answer",
		}
	}
}

// run commits the dispatch, or finds out what became of another attempt. caller ends when the caller goes away.
func (o *once) run(ctx, caller context.Context) onceResult {
	wait, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	interval := resultPause
	for {
		res, err := o.ask(wait, &ledger.Dispatch{Key: o.key, Fingerprint: o.fingerprint, Attempt: o.attempt})
		if err != nil {
			return o.giveUp(ctx, fleet.CodeLedgerUnavailable, "the ledger cannot be reached")
		}
		switch res.Verdict {
		case ledger.VerdictAccepted:
			if caller.Err() != nil {
				return o.giveUp(ctx, fleet.CodeDeadlineExceeded, "the caller went away")
			}
			return o.dispatch(ctx)
		case ledger.VerdictRunning:
			if pause.For(wait, interval) != nil {
				return onceResult{refusal: o.notOurs(fleet.CodeStillRunning, fleet.Running)}
			}
			interval = min(2*interval, maxResultPause)
		default:
			return o.settled(res)
		}
	}
}

// settled turns the verdict on a record that needs no dispatch into an answer.
func (o *once) settled(res ledger.Result) onceResult {
	switch res.Verdict {
	case ledger.VerdictAnswered:
		return stored(res.Answer)
	case ledger.VerdictUnknown:
		return onceResult{refusal: o.notOurs(fleet.CodeOutcomeUnknown, fleet.MayHaveRun)}
	case ledger.VerdictMismatch:
		return onceResult{refusal: fleet.Refuse(fleet.CodeIdempotencyMismatch, 0,
			"the Idempotency-Key was used with another body; use a new key for a new request")}
	case ledger.VerdictFull:
		return onceResult{refusal: fleet.Refuse(fleet.CodeLedgerFull, serviceRetry,
			"the ledger holds its maximum of records; ask the operators to raise limits.ledger-records")}
	case ledger.VerdictRunning, ledger.VerdictAccepted, ledger.VerdictAbandoned, ledger.VerdictStale:
		return onceResult{refusal: o.notOurs(fleet.CodeLedgerUnavailable, fleet.MayHaveRun)}
	default:
		panic("dispatch: ledger verdict without a handler")
	}
}

// notOurs refuses with the state of another attempt.
func (o *once) notOurs(code fleet.Code, e fleet.Execution) *fleet.Refusal {
	return &fleet.Refusal{
		Code: code, Execution: e, RetryAfter: serviceRetry,
		Message: "an earlier attempt with this Idempotency-Key decides; send the call again with the same key to learn its outcome",
	}
}

func stored(a *ledger.Answer) onceResult {
	if a.Dropped {
		return onceResult{refusal: &fleet.Refusal{
			Code: fleet.CodeOutcomeUnknown, Execution: fleet.MayHaveRun,
			Message: "the call ran, and its answer was too large to be kept; look up the outcome at the service",
		}}
	}
	return onceResult{answer: &callers.ServiceAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}}
}

// giveUp makes a refusal with not-run true by a commit that a dispatch of the same attempt must fail against. Without
// the commit, an earlier attempt under the key may have run.
func (o *once) giveUp(ctx context.Context, code fleet.Code, why string) onceResult {
	wait, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	r := &fleet.Refusal{
		Code: code, Execution: fleet.MayHaveRun, RetryAfter: serviceRetry,
		Message: why + "; send the call again with the same Idempotency-Key",
	}
	res, err := o.ask(wait, &ledger.Abandon{Key: o.key, Fingerprint: o.fingerprint, Attempt: o.attempt})
	switch {
	case !o.keyed:
		// Nobody else can have used the key, and this attempt was not sent.
		r.Execution = fleet.NotRun
	case err != nil:
	case res.Verdict == ledger.VerdictAccepted:
		r.Execution = fleet.NotRun
	default:
		return o.settled(res)
	}
	return onceResult{refusal: r}
}

// dispatch sends the call under its committed record.
func (o *once) dispatch(ctx context.Context) onceResult {
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	tried := map[fleet.BackendID]bool{}
	for {
		b, ok := o.d.chooseService(o.call.Service, tried)
		if !ok {
			return o.giveUp(ctx, fleet.CodeNoCapacity, "no backend server of the service can be reached")
		}
		tried[b.ID] = true
		a, err := o.d.callBackend(ctx, b, o.call, true, onceTimeout)
		switch {
		case err == nil:
			return o.complete(ctx, a)
		case errorx.IsOfType(err, backend.ErrNotSent):
			continue
		}
		o.commit(ctx, &ledger.MarkUnknown{Key: o.key, Attempt: o.attempt})
		return onceResult{refusal: &fleet.Refusal{
			Code: fleet.CodeOutcomeUnknown, Execution: fleet.MayHaveRun,
			Message: "the call was sent and its answer was lost; look up the outcome at the service before sending it anew",
		}}
	}
}

// complete commits the answer before it is given. An answer that cannot be committed in time is given all the same: it is
// the truth, and a resend is told that the outcome is unknown.
func (o *once) complete(ctx context.Context, a *callers.ServiceAnswer) onceResult {
	o.commit(ctx, &ledger.Complete{Key: o.key, Attempt: o.attempt, Answer: ledger.Answer{
		Status: a.Status, ContentType: a.ContentType, Body: a.Body,
	}})
	return onceResult{answer: a}
}

// ask commits a command and counts what the ledger found.
func (o *once) ask(ctx context.Context, c ledger.Command) (ledger.Result, error) {
	res, err := o.d.cfg.Ledger.Do(ctx, o.key, c)
	verdict := "no-answer"
	if err == nil {
		verdict = res.Verdict.String()
	}
	o.d.metrics.ledger.With(verdict).Inc(1)
	return res, err
}

func (o *once) commit(ctx context.Context, c ledger.Command) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	if _, err := o.d.cfg.Ledger.Do(ctx, o.key, c); err != nil {
		o.d.metrics.ledgerLost.With().Inc(1)
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
func (d *Dispatcher) callBackend(ctx context.Context, b fleet.Announcement, c *callers.ServiceCall, onlyOnce bool, silence time.Duration) (*callers.ServiceAnswer, error) {
	defer d.outstanding.begin(b.ID)()
	a, err := d.cfg.Services.Do(ctx, services.Call{
		Address: b.Address, Request: c.ID, Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body,
		Once: onlyOnce, Silence: silence,
	})
	if err != nil {
		return nil, err
	}
	return &callers.ServiceAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
}

// chooseService returns the backend server with the fewest calls of this host under way, at random among equal ones.
func (d *Dispatcher) chooseService(id fleet.ServiceID, tried map[fleet.BackendID]bool) (fleet.Announcement, bool) {
	var best []fleet.Announcement
	least := 0
	d.cfg.Follower.Read(func(s *control.State) {
		for _, b := range s.Backends() {
			a := b.Announcement
			if b.Lost || b.Leaving || a.Kind != fleet.KindService || tried[a.ID] || !offers(a, id) {
				continue
			}
			n := d.outstanding.of(a.ID)
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

func offers(a fleet.Announcement, id fleet.ServiceID) bool {
	for _, s := range a.Services {
		if s == id {
			return true
		}
	}
	return false
}
