package gateway

import "toucanway/io/metrics"

type counters struct {
	requests, refusals, notices, overMemory, overload metrics.Counters
	latency, accountLatency                           metrics.Histograms
}

func newCounters(r *metrics.Registry) counters {
	return counters{
		requests:       r.Counter("routed-requests", "Requests of callers by route and result.", "route", "result"),
		refusals:       r.Counter("account-refusals", "Requests that a host refused, by client account and code; the account is empty if the key is unknown.", "account", "code"),
		notices:        r.Counter("backend-notices", "Notices in answers of backend servers that were not known before, by kind.", "kind"),
		overMemory:     r.Counter("messages-over-memory", "Requests and answers that were given up since there was no memory for them, by kind.", "kind"),
		latency:        r.Histogram("routed-request-duration", "Time from a request to the end of its answer.", metrics.UnitDuration, "route"),
		accountLatency: r.Histogram("account-request-duration", "Time from a request of a client account to the end of its answer.", metrics.UnitDuration, "account"),
		overload:       r.Counter("overload-decisions", "Requests that waited for room at backend servers, or were refused for lack of it, by reason.", "route", "action", "reason"),
	}
}
