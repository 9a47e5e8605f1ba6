package dispatch

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/io/callers"
	"toucanway/io/metrics"
)

// dispatchMetrics are the metrics of requests.
type dispatchMetrics struct {
	requests    metrics.Counters
	firstToken  metrics.Histograms
	tokenGap    metrics.Histograms
	refusals    metrics.Counters
	retries     metrics.Counters
	hedges      metrics.Counters
	crashes     metrics.Counters
	releaseLost metrics.Counters
	ledgerLost  metrics.Counters
	ledger      metrics.Counters
	crossRegion metrics.Counters
}

func newDispatchMetrics(r *metrics.Registry) dispatchMetrics {
	return dispatchMetrics{
		requests:    r.Counter("requests", "Completions that began to be answered.", "tenant", "class"),
		firstToken:  r.Histogram("time-to-first-token", "Time from a request's arrival to its first token.", metrics.UnitDuration, "tenant", "class"),
		tokenGap:    r.Histogram("token-gap", "Time between two tokens of an answer.", metrics.UnitDuration, "class"),
		refusals:    r.Counter("refusals", "Refused requests by code.", "tenant", "code"),
		retries:     r.Counter("retries", "Attempts after the first one.", "tenant"),
		hedges:      r.Counter("hedges", "Second attempts of requests whose first token was late.", "tenant"),
		crashes:     r.Counter("backend-crashes", "Backend servers whose process ended while it ran a request of this host."),
		releaseLost: r.Counter("releases-lost", "Releases that did not reach the owner; its next inventory frees the grant."),
		ledgerLost:  r.Counter("ledger-commits-lost", "Commits after a call ended that did not reach the ledger."),
		ledger:      r.Counter("ledger-verdicts", "Answers of the ledger to dispatches and abandoned attempts; `no-answer` when none came.", "verdict"),
		crossRegion: r.Counter("cross-region-bytes", "Estimated bytes of completions between this host and engines of other regions.", "tenant"),
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
