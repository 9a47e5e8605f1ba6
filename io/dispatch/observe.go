package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/callers"
	"toucanway/io/jobs"
	"toucanway/io/metrics"
)

// Dispatcher carries requests to backend servers. It is safe for concurrent use.
type Dispatcher struct {
	cfg         Settings
	router      *router
	budget      *budget
	metrics     dispatchMetrics
	jobs        jobs.Group
	requests    gate
	outstanding counts
	inflight    inflight
	crashes     crashes
	draining    atomic.Bool
}

// New returns a dispatcher.
func New(cfg Settings) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, router: newRouter(cfg.Follower, cfg.Seed), budget: newBudget(),
		metrics: newDispatchMetrics(cfg.Metrics),
	}
}

// Run takes work until the context ends, and waits for what goes on behind finished requests.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.jobs.Start(ctx)
	<-ctx.Done()
	return d.jobs.Stop()
}

// Drain refuses new requests from now on.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// WaitIdle returns once no request is under way, or with the context's error.
func (d *Dispatcher) WaitIdle(ctx context.Context) error { return d.requests.wait(ctx) }

// Requests returns the number of requests under way.
func (d *Dispatcher) Requests() int { return d.requests.count() }

// dispatchMetrics are the metrics of requests.
type dispatchMetrics struct {
	requests    metrics.Counters
	firstToken  metrics.Histograms
	tokenGap    metrics.Histograms
	refusals    metrics.Counters
	retries     metrics.Counters
	crashes     metrics.Counters
	releaseLost metrics.Counters
	ledgerLost  metrics.Counters
}

func newDispatchMetrics(r *metrics.Registry) dispatchMetrics {
	return dispatchMetrics{
		requests:    r.Counter("requests", "Completions that began to be answered.", "tenant", "class"),
		firstToken:  r.Histogram("time-to-first-token", "Time from a request's arrival to its first token.", metrics.UnitDuration, "tenant", "class"),
		tokenGap:    r.Histogram("token-gap", "Time between two tokens of an answer.", metrics.UnitDuration, "class"),
		refusals:    r.Counter("refusals", "Refused requests by code.", "tenant", "code"),
		retries:     r.Counter("retries", "Attempts after the first one.", "tenant"),
		crashes:     r.Counter("backend-crashes", "Backend servers whose process ended under a request of this host."),
		releaseLost: r.Counter("releases-lost", "Releases that did not reach the owner; its next inventory frees the grant."),
		ledgerLost:  r.Counter("ledger-commits-lost", "Commits after a call ended that did not reach the ledger."),
	}
}

// outcome counts a completion that began to be answered or was refused.
func (m *dispatchMetrics) outcome(who callers.Identity, r *fleet.Refusal, took time.Duration) {
	if r != nil {
		m.refusals.With(string(who.Tenant), string(r.Code)).Inc(1)
		return
	}
	m.requests.With(string(who.Tenant), who.Class.String()).Inc(1)
	m.firstToken.With(string(who.Tenant), who.Class.String()).Update(int64(took))
}

// observeToken takes note of one token of the present attempt.
func (a *answer) observeToken(now time.Time) {
	at := a.current
	if at.tokens > 0 {
		a.d.metrics.tokenGap.With(a.call.Identity.Class.String()).Update(int64(now.Sub(at.last)))
	}
	at.tokens++
	at.last = now
}

// complete ends the present attempt after the whole answer.
func (a *answer) complete(time.Time) {
	at := a.current
	a.current = nil
	a.ended = true
	a.leave(at)
	a.d.inflight.remove(at.life(), a.call.ID)
	a.d.release(at, capacity.OutcomeDone, a.prompt+fleet.Tokens(a.received))
	if a.alone {
		fp := a.fingerprint
		a.d.jobs.Run(func(ctx context.Context) {
			// A lost commit leaves the suspicion to its expiry.
			_, _ = a.d.cfg.Follower.Propose(ctx, &control.ClearSuspects{Fingerprints: []fleet.Fingerprint{fp}})
		})
	}
}

func (d *Dispatcher) hasReplica(m fleet.ModelID) bool {
	found := false
	d.cfg.Follower.Read(func(s *control.State) {
		for _, r := range s.Replicas(m) {
			found = found || r.State == control.ReplicaReady
		}
	})
	return found
}

func (d *Dispatcher) fingerprint(c *callers.Completion) fleet.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{string(c.Identity.Tenant), c.Target.String(), c.Prompt} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	return fleet.Fingerprint(h.Sum64())
}

// Report takes a load report.
func (d *Dispatcher) Report(time.Time, fleet.LoadReport) {}

// CacheEvents takes cache events.
func (d *Dispatcher) CacheEvents(time.Time, []fleet.CacheEvent) {}

func (d *Dispatcher) observeCache(*answer, fleet.Tokens) {}

func (a *answer) predict(time.Time) { a.expected = a.call.MaxTokens }

const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// backoff returns the pause before an attempt, with full jitter.
func (d *Dispatcher) backoff(attempts int) time.Duration {
	return time.Duration(rand.Int64N(int64(min(backoffBase<<min(attempts, 10), backoffMax))))
}

// budget allows retries.
type budget struct{}

func newBudget() *budget { return &budget{} }

// Request counts a request of a tenant.
func (*budget) Request(time.Time, fleet.TenantID) {}

// Retry reports whether a tenant may retry.
func (*budget) Retry(time.Time, fleet.TenantID) bool { return true }
