package owner

import (
	"sync"

	"toucanway/core/capacity"
	"toucanway/core/fleet"
	"toucanway/core/placement"
	"toucanway/io/metrics"
)

// ownerMetrics are the metrics of the owned backend servers.
type ownerMetrics struct {
	grants        metrics.Counters
	refusals      metrics.Counters
	grantWait     metrics.Histograms
	waiting       *waitingGauges
	loads         metrics.Counters
	loadTime      metrics.Histograms
	adapterOrders metrics.Counters
	unanswered    metrics.Counters
}

func newOwnerMetrics(r *metrics.Registry) ownerMetrics {
	return ownerMetrics{
		grants:    r.Counter("grants", "Grants of slots on owned backend servers.", "class"),
		refusals:  r.Counter("grant-refusals", "Refused requests for a slot on owned backend servers.", "class", "code"),
		grantWait: r.Histogram("grant-wait", "Time from a request for a slot to its grant.", metrics.UnitDuration, "class"),
		waiting: &waitingGauges{
			gauges: r.Gauge("grants-waiting", "Requests that wait for a slot on owned backend servers.", "class"),
		},
		loads:    r.Counter("loads", "Model loads that ended on owned backend servers.", "tier", "result"),
		loadTime: r.Histogram("load-time", "Time of model loads that succeeded.", metrics.UnitDuration, "tier"),
		adapterOrders: r.Counter("adapter-orders", "Orders to load or unload adapters that ended on owned backend servers.",
			"kind", "result"),
		unanswered: r.Counter("inventories-unanswered", "Inventories that owned backend servers did not answer."),
	}
}

// waitingGauges counts waiting requests by class. Lock order: no other lock is taken while mu is held.
type waitingGauges struct {
	gauges metrics.Gauges

	mu     sync.Mutex
	counts [fleet.NumClasses]int64
}

func (w *waitingGauges) add(c fleet.Class, n int64) {
	if c < 0 || c >= fleet.NumClasses {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[c] += n
	w.gauges.With(c.String()).Update(w.counts[c])
}

func (m *ownerMetrics) countAnswer(class string, a capacity.Answer) {
	if a.Refusal != nil {
		m.refusals.With(class, string(a.Refusal.Code)).Inc(1)
		return
	}
	m.grants.With(class).Inc(1)
}

func (m *ownerMetrics) countLoad(r placement.LoadResult) {
	if r.Failed {
		m.loads.With(r.Tier.String(), "failed").Inc(1)
		return
	}
	m.loads.With(r.Tier.String(), "loaded").Inc(1)
	m.loadTime.With(r.Tier.String()).Update(int64(r.Took))
}

func (m *ownerMetrics) countAdapterOrder(kind fleet.OrderKind, o fleet.OrderOutcome) {
	m.adapterOrders.With(string(kind), o.String()).Inc(1)
}
