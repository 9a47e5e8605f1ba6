package controller

import (
	gometrics "github.com/rcrowley/go-metrics"

	"toucanway/io/metrics"
)

type counters struct {
	heartbeats, orders metrics.Counters
	probes             gometrics.Counter
}

func newCounters(r *metrics.Registry) counters {
	return counters{
		heartbeats: r.Counter("heartbeats", "Heartbeats of backend servers received by this host as leader.", "verdict"),
		orders:     r.Counter("engine-orders", "Orders to engines by kind and outcome.", "kind", "outcome"),
		probes:     r.Counter("engine-reports", "Requests for reports sent to engines.").With(),
	}
}
