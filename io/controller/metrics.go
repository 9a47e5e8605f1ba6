package controller

import (
	gometrics "github.com/rcrowley/go-metrics"

	"toucanway/io/metrics"
)

type counters struct {
	heartbeats, orders, contents      metrics.Counters
	probes, changesTold, crashReports gometrics.Counter
	quotas                            quotaCounters
}

func newCounters(r *metrics.Registry) counters {
	return counters{
		quotas:       newQuotaCounters(r),
		heartbeats:   r.Counter("heartbeats", "Heartbeats of backend servers received by this host as leader.", "verdict"),
		orders:       r.Counter("engine-orders", "Orders to engines by kind and outcome.", "kind", "outcome"),
		contents:     r.Counter("crashing-contents", "Decisions of this host as leader on contents of requests that may crash backend servers.", "decision"),
		crashReports: r.Counter("crash-reports", "Crashes of backend servers reported by entry hosts to this host as leader.").With(),
		probes:       r.Counter("engine-reports", "Requests for reports sent to engines.").With(),
		changesTold:  r.Counter("changes-told", "Answers of this host that told a follower of changes.").With(),
	}
}
