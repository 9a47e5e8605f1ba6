package dispatch

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/io/callers"
	"toucanway/io/metrics"
)

type dispatchMetrics struct {
	requests          metrics.Counters
	firstToken        metrics.Histograms
	tokenGap          metrics.Histograms
	refusals          metrics.Counters
	retries           metrics.Counters
	hedges            metrics.Counters
	crashes           metrics.Counters
	releasesLost      metrics.Counters
	ledgerCommitsLost metrics.Counters
	ledgerVerdicts    metrics.Counters
	crossRegionBytes  metrics.Counters
}

func newDispatchMetrics(r *metrics.Registry) dispatchMetrics {
	return dispatchMetrics{
		requests:          r.Counter("requests", "Completions whose answer has begun.", "tenant", "class"),
		firstToken:        r.Histogram("time-to-first-token", "Time from a request's arrival to its first token.", metrics.UnitDuration, "tenant", "class"),
		tokenGap:          r.Histogram("token-gap", "Time between two tokens of an answer.", metrics.UnitDuration, "class"),
		refusals:          r.Counter("refusals", "Refused requests by code.", "tenant", "code"),
		retries:           r.Counter("retries", "Attempts after the first one.", "tenant"),
		hedges:            r.Counter("hedges", "Second attempts of requests whose first token was late.", "tenant"),
		crashes:           r.Counter("backend-crashes", "Backend servers whose process ended while it ran a request of this host."),
		releasesLost:      r.Counter("releases-lost", "Releases that did not reach the owner; its next inventory frees the grant."),
		ledgerCommitsLost: r.Counter("ledger-commits-lost", "Commits after a call ended that did not reach the ledger."),
		ledgerVerdicts:    r.Counter("ledger-verdicts", "Answers of the ledger to dispatches and abandoned attempts; `no-answer` when none came.", "verdict"),
		crossRegionBytes:  r.Counter("cross-region-bytes", "Estimated bytes of completions between this host and engines of other regions.", "tenant"),
	}
}

// countOutcome counts a completion that began to be answered or was refused.
func (m *dispatchMetrics) countOutcome(identity callers.Identity, r *fleet.Refusal, elapsed time.Duration) {
	if r != nil {
		m.refusals.With(string(identity.Tenant), string(r.Code)).Inc(1)
		return
	}
	m.requests.With(string(identity.Tenant), identity.Class.String()).Inc(1)
	m.firstToken.With(string(identity.Tenant), identity.Class.String()).Update(int64(elapsed))
}
