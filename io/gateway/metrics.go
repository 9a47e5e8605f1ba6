package gateway

import "toucanway/io/metrics"

type counters struct {
	requests metrics.Counters
	latency  metrics.Histograms
}

func newCounters(r *metrics.Registry) counters {
	return counters{
		requests: r.Counter("routed-requests", "Requests of callers by route and result.", "route", "result"),
		latency:  r.Histogram("routed-request-duration", "Time from a request to the end of its answer.", metrics.UnitDuration, "route"),
	}
}
