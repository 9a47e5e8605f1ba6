package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/quota"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/metrics"
)

// Log messages of calls for credit.
const (
	logQuotasUnknown = "the leader does not answer for the quotas of client accounts; this host uses the credit that it has"
	logQuotasKnown   = "the leader answers for the quotas of client accounts"
)

const (
	// quotaTimeout bounds a call for credit.
	quotaTimeout = 300 * time.Millisecond
	// quotaIdleWait is the longest time without a look at whether a call for credit is due; changes cause one at once.
	quotaIdleWait = time.Minute
)

// quotas holds this host's credit under the quotas of client accounts, and asks the leader for more. It is safe for concurrent use.
type quotas struct {
	view *View
	// wake makes the loop look at whether a call is due.
	wake  chan struct{}
	calls metrics.Counters
	units metrics.Counters

	mu     sync.Mutex
	credit *quota.Credit
	// counters holds the metrics of the accounts of the configuration in force.
	counters map[fleet.AccountID]*accountCounters
	// known is set while the leader answers, told once the log says whether it does.
	known, told bool
}

// accountCounters holds the metrics of one account, in units of its quota.
type accountCounters struct{ admitted, refused, refunded gometrics.Counter }

func newQuotas(v *View) *quotas {
	r := v.cfg.Metrics
	return &quotas{
		view: v, wake: make(chan struct{}, 1), credit: quota.NewCredit(rand.Uint64()), counters: map[fleet.AccountID]*accountCounters{},
		calls: r.Counter("quota-calls", "Calls of this host for credit under the quotas of client accounts, by result.", "result"),
		units: r.Counter("quota-units", "Units of requests that this host has admitted, refused and refunded under the quota of a client account.", "account", "result"),
	}
}

// configure sets the accounts of the configuration in force.
func (q *quotas) configure(now time.Time, accounts []routes.Account) {
	q.mu.Lock()
	q.credit.Configure(now, accounts)
	clear(q.counters)
	q.mu.Unlock()
	q.look()
}

// look makes the loop look at whether a call is due.
func (q *quotas) look() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run asks the leader for credit when it is needed, with one call at a time, until the context ends.
func (q *quotas) run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for ctx.Err() == nil {
		call, wait := q.nextCall()
		if call != nil {
			q.ask(ctx, call)
			continue
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-q.wake:
		}
	}
	return nil
}

// nextCall begins a call if one is due, else it returns the time until one may be.
func (q *quotas) nextCall() (*quota.Call, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.view.cfg.Now()
	at, ok := q.credit.Next(now)
	switch {
	case !ok:
		return nil, quotaIdleWait
	case at.After(now):
		return nil, at.Sub(now)
	}
	return q.credit.Begin(now), 0
}

// ask sends a call to the leader and applies the answer.
func (q *quotas) ask(ctx context.Context, call *quota.Call) {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	res, err := controlapi.Call[controlapi.QuotaRequest, controlapi.QuotaResponse](ctx, q.view.cfg.Client, controlapi.ProcedureQuota, 0,
		&controlapi.QuotaRequest{Call: *call})
	if err != nil {
		q.apply(call, nil, err)
	} else {
		q.apply(call, &res.Answer, nil)
	}
}

// apply applies the answer to a call, or the error that came in its place.
func (q *quotas) apply(call *quota.Call, a *quota.Answer, err error) {
	result := "failed"
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.view.cfg.Now()
	switch {
	case err != nil:
		q.credit.Fail(now)
	case q.credit.Take(now, a):
		result = "answered"
	default:
		result = "late"
	}
	q.calls.With(result).Inc(1)
	if known := err == nil; known != q.known || !q.told {
		q.known, q.told = known, true
		if known {
			q.view.cfg.Log.Info(logQuotasKnown, zap.Uint64("call", call.Number), zap.Int("accounts", len(call.Accounts)))
		} else {
			q.view.cfg.Log.Warn(logQuotasUnknown, zap.Uint64("call", call.Number), zap.Int("accounts", len(call.Accounts)), zap.Error(err))
		}
	}
}

// charge is the result of charging a request to the quota of its account.
type charge struct {
	verdict quota.Verdict
	ticket  quota.Ticket
	// retryIn is the time after which there is expected to be room, with quota.Exceeded and quota.Unsettled.
	retryIn time.Duration
}

// admit charges a request to the quota of its account. It may wait for the leader until a time or the end of the context, and then returns
// quota.Undecided.
func (q *quotas) admit(ctx context.Context, a *routes.Account, n quota.Units, latest time.Time) charge {
	var c charge
	q.mu.Lock()
	c.ticket, c.verdict, c.retryIn = q.credit.Admit(q.view.cfg.Now(), a, n)
	if c.verdict != quota.Undecided {
		q.count(a, n, c.verdict)
		low := q.credit.IsLow()
		q.mu.Unlock()
		if low {
			q.look()
		}
		return c
	}
	decided := make(chan struct{})
	w := &quota.Waiter{Units: n, Decided: func(*quota.Waiter) { close(decided) }}
	q.credit.Join(q.view.cfg.Now(), a, w)
	q.mu.Unlock()
	q.look()
	timeout := time.NewTimer(time.Until(latest))
	defer timeout.Stop()
	select {
	case <-decided:
	case <-timeout.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.credit.Leave(q.view.cfg.Now(), w)
	q.count(a, n, w.Verdict)
	return charge{w.Verdict, w.Ticket, w.RetryIn}
}

// refund gives back what a request that did not run was charged.
func (q *quotas) refund(a *routes.Account, t quota.Ticket) {
	q.mu.Lock()
	q.credit.Refund(q.view.cfg.Now(), t)
	q.countersOf(a).refunded.Inc(int64(t.Units()))
	q.mu.Unlock()
	q.look()
}

// count updates the metrics with a decision; q.mu is held.
func (q *quotas) count(a *routes.Account, n quota.Units, v quota.Verdict) {
	c := q.countersOf(a)
	if v == quota.Admitted {
		c.admitted.Inc(int64(n))
	} else {
		c.refused.Inc(int64(n))
	}
}

// countersOf returns the metrics of an account; q.mu is held.
func (q *quotas) countersOf(a *routes.Account) *accountCounters {
	c := q.counters[a.Name]
	if c == nil {
		name := string(a.Name)
		c = &accountCounters{q.units.With(name, "admitted"), q.units.With(name, "refused"), q.units.With(name, "refunded")}
		q.counters[a.Name] = c
	}
	return c
}

// latestQuotaDecision returns the time until which a request waits for the leader to decide on its quota: until it can't be on time any more,
// but for one call at least. With an objective shorter than a round trip to the leader no request would be admitted.
func (x *exchange) latestQuotaDecision() time.Time {
	at := x.latestStart()
	if call := x.began.Add(quotaTimeout); at.Before(call) {
		at = call
	}
	if x.deadline.Before(at) {
		return x.deadline
	}
	return at
}

// chargeQuota charges the request to the quota of its account, if it has one. It reports whether the request may run, and otherwise returns
// the status and the cause of its refusal.
func (x *exchange) chargeQuota() (int, string, bool) {
	if x.account == nil || !x.account.Quota.Limited() {
		return 0, "", true
	}
	began := time.Now()
	units := quota.Cost(&x.account.Quota, x.info.Prompt, x.info.Output)
	c := x.proxy.view.quotas.admit(x.ctx, x.account, units, x.latestQuotaDecision())
	x.charged = c.ticket
	if waited := time.Since(began); waited > time.Millisecond {
		x.waitTime += waited
	}
	switch c.verdict {
	case quota.Admitted:
		return 0, "", true
	case quota.Exceeded:
		status, cause := x.refuseWith(fasthttp.StatusTooManyRequests, holdoff.ReturnDelay(c.retryIn, rand.Float64()), "quota-exceeded",
			"the client account has used up its quota; the request was not run; send it again after the time in Retry-After")
		return status, cause, false
	case quota.Unsettled:
		status, cause := x.refuseFor(holdoff.ReturnDelay(c.retryIn, rand.Float64()), "quota-unknown",
			"the controllers have changed, so that the quota of the client account may have room that can't be used yet; the request was not run; send it again after the time in Retry-After")
		return status, cause, false
	case quota.TooLarge:
		status, cause := x.refuseWith(fasthttp.StatusTooManyRequests, 0, "quota-exceeded",
			"the request needs more than the quota of the client account ever allows at once; it was not run; send a smaller one")
		return status, cause, false
	}
	if x.callerDisconnected() || errors.Is(context.Cause(x.ctx), errStopping) {
		status, cause := x.fail(x.ctx.Err())
		return status, cause, false
	}
	status, cause := x.refuse(fasthttp.StatusServiceUnavailable, "quota-unknown",
		"the control group did not say in time whether the quota of the client account has room; the request was not run; retry shortly or use another host")
	return status, cause, false
}

// refundQuota gives back what the request was charged if it certainly did not run.
func (x *exchange) refundQuota() {
	if x.charged.Units() > 0 && !x.mayHaveRun() {
		x.proxy.view.quotas.refund(x.account, x.charged)
	}
}
