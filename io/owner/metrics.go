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
	grants   metrics.Counters
	refusals metrics.Counters
	waits    metrics.Histograms
	waiting  *waiting
	loads    metrics.Counters
	loadTime metrics.Histograms
	adapters metrics.Counters
	mute     metrics.Counters
}

func newOwnerMetrics(r *metrics.Registry) ownerMetrics {
	return ownerMetrics{
		grants:   r.Counter("grants", "Grants of slots on owned backend servers.", "class"),
		refusals: r.Counter("grant-refusals", "Refused requests for a slot on owned backend servers.", "class", "code"),
		waits:    r.Histogram("grant-wait", "Time from a request for a slot to its grant.", metrics.UnitDuration, "class"),
		waiting:  &waiting{gauges: r.Gauge("grants-waiting", "Requests that wait for a slot on owned backend servers.", "class")},
		loads:    r.Counter("loads", "Ends of model loads on owned backend servers.", "tier", "result"),
		loadTime: r.Histogram("load-time", "Time of model loads that succeeded.", metrics.UnitDuration, "tier"),
		adapters: r.Counter("adapter-orders", "Ends of orders to load or unload adapters on owned backend servers.", "kind", "result"),
		mute:     r.Counter("inventories-unanswered", "Inventories that owned backend servers did not answer."),
	}
}

// waiting counts waiting requests by class. Lock order: mu alone.
type waiting struct {
	gauges metrics.Gauges

	mu sync.Mutex
	n  [fleet.Classes]int64
}

func (w *waiting) add(c fleet.Class, n int64) {
	if c < 0 || c >= fleet.Classes {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n[c] += n
	w.gauges.With(c.String()).Update(w.n[c])
}

func (m *ownerMetrics) answered(class string, a capacity.Answer) {
	if a.Refusal != nil {
		m.refusals.With(class, string(a.Refusal.Code)).Inc(1)
		return
	}
	m.grants.With(class).Inc(1)
}

func (m *ownerMetrics) loaded(r placement.LoadResult) {
	if r.Failed {
		m.loads.With(r.Tier.String(), "failed").Inc(1)
		return
	}
	m.loads.With(r.Tier.String(), "loaded").Inc(1)
	m.loadTime.With(r.Tier.String()).Update(int64(r.Took))
}

func (m *ownerMetrics) adapterOrder(kind fleet.OrderKind, o fleet.OrderOutcome) {
	m.adapters.With(string(kind), o.String()).Inc(1)
}
