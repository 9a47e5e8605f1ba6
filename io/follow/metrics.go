package follow

import (
	"time"

	"toucanway/core/control"
	"toucanway/io/metrics"
)

type followMetrics struct {
	sessionsOpened, pollsFailed metrics.Counters
}

// newMetrics registers the metrics; the gauges read the copy of the control state.
func (f *Follower) newMetrics(r *metrics.Registry) followMetrics {
	r.GaugeFunc("session-lease", "1 while the host has a session lease and uses the newest document it knows of.", func() int64 {
		if f.HasLease(time.Now()) {
			return 1
		}
		return 0
	})
	r.GaugeFunc("config-version", "Version of the configuration document in force.", func() int64 {
		_, v := f.Document()
		return int64(v)
	})
	r.GaugeFunc("applied-index", "Last log entry of the control group that the host applied.", func() (n int64) {
		f.Read(func(s *control.State) { n = int64(s.Applied()) })
		return n
	})
	r.GaugeFunc("sessions-open", "Hosts with an open session.", func() (n int64) {
		f.Read(func(s *control.State) { n = int64(len(s.Sessions())) })
		return n
	})
	return followMetrics{
		sessionsOpened: r.Counter("sessions-opened", "Sessions that this process opened."),
		pollsFailed:    r.Counter("polls-failed", "Polls of the control leader without an answer."),
	}
}
