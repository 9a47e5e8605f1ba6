package routing

import (
	"cmp"
	"time"

	"toucanway/core/fleet"
)

const (
	// reportHalfWeightAge is the age at which a report of other hosts' load and its moving average have equal weight.
	reportHalfWeightAge = 2 * time.Second
	// othersGain is the weight of a new report in the moving average of other hosts' load.
	othersGain = 0.1
	// serviceTimeGain is the weight of a new service time in its moving average.
	serviceTimeGain = 0.1
	// ownSamples is the number of past counts of own requests that are kept. Taken every ownSampleInterval, they cover the delay
	// of load reports.
	ownSamples        = 16
	ownSampleInterval = 100 * time.Millisecond
	// maxReported bounds the numbers of running and of queued requests that a backend server may report.
	maxReported = 1 << 16
)

// load estimates how many requests a backend server runs or has queued.
type load struct {
	// own is the number of this host's requests in flight. others is the number of other hosts' requests in the last report, which
	// describes the time reportedAt; othersMean is its moving average.
	own         int
	others      float64
	othersMean  float64
	reportedAt  time.Time
	seq         uint64
	serviceTime float64
	// wait is the capacity owner's estimate of the queueing time in seconds, made at waitAt while waitOwn own requests were in
	// flight.
	wait           float64
	waitAt         time.Time
	waitOwn        int
	ownHistory     [ownSamples]ownSample
	ownHistoryHead int
}

type ownSample struct {
	at  time.Time
	own int
}

// addOwn adds delta to the number of own requests. It keeps past numbers, so that own requests can be subtracted from a late
// report.
func (l *load) addOwn(now time.Time, delta int) {
	if last := &l.ownHistory[l.ownHistoryHead]; now.Sub(last.at) >= ownSampleInterval {
		l.ownHistoryHead = (l.ownHistoryHead + 1) % ownSamples
		l.ownHistory[l.ownHistoryHead] = ownSample{at: now, own: l.own}
	}
	l.own = max(0, l.own+delta)
}

// ownAt returns the number of own requests at a past time.
func (l *load) ownAt(at time.Time) int {
	own := l.own
	for i := range ownSamples {
		s := &l.ownHistory[(l.ownHistoryHead-i+ownSamples)%ownSamples]
		if s.at.IsZero() || s.at.Before(at) {
			break
		}
		own = s.own
	}
	return own
}

// report records the load of other hosts at a past time: the reported total less the own requests at that time.
func (l *load) report(at time.Time, total int) {
	if at.Before(l.reportedAt) {
		return
	}
	others := float64(max(0, total-l.ownAt(at)))
	if l.reportedAt.IsZero() {
		l.othersMean = others
	}
	l.othersMean += othersGain * (others - l.othersMean)
	l.others = others
	l.reportedAt = at
}

// estimate returns the expected number of requests now: the exact number of own ones plus those of other hosts, for which the
// moving average gains weight over the last report as it ages.
func (l *load) estimate(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return float64(l.own)
	}
	w := 1 / (1 + float64(max(0, now.Sub(l.reportedAt)))/float64(reportHalfWeightAge))
	return float64(l.own) + w*l.others + (1-w)*l.othersMean
}

// confidence returns the confidence in the estimate, from 0 to 1. The number of own requests is exact; that of others changes as
// fast as requests end. others is the load from other hosts of an average server, since a server that was reported idle may have
// received as many requests as any other since then.
func (l *load) confidence(now time.Time, others float64) float64 {
	if l.reportedAt.IsZero() {
		return 1
	}
	turnover := max(0, now.Sub(l.reportedAt).Seconds()) / l.serviceSeconds()
	unknown := 1 + turnover*others/float64(l.own+1)/2
	return 1 / (unknown * unknown)
}

func (l *load) observeServiceTime(took time.Duration) {
	l.serviceTime = l.serviceSeconds() + serviceTimeGain*(took.Seconds()-l.serviceSeconds())
}

func (l *load) serviceSeconds() float64 { return cmp.Or(l.serviceTime, DefaultServiceTime.Seconds()) }

// Report records a backend server's load report. Reports that arrive out of order or come from another incarnation are dropped.
func (r *Router) Report(now time.Time, rep fleet.LoadReport) {
	i, ok := r.index[rep.Backend]
	if !ok {
		return
	}
	b := &r.backends[i]
	if b.incarnation != rep.Incarnation || rep.Seq <= b.load.seq {
		return
	}
	b.load.seq = rep.Seq
	total := min(max(rep.Running, 0), maxReported) + min(max(rep.Queued, 0), maxReported)
	b.load.report(now.Add(-max(rep.Age, 0)), total)
}

// queueWait returns the expected seconds until a slot is free: the owner's estimate corrected by own requests since then. As it
// ages, an estimate from the load gains weight.
func (l *load) queueWait(now time.Time, slots float64) float64 {
	secondsPerSlot := l.serviceSeconds() / slots
	byLoad := max(0, l.estimate(now)-slots+1) * secondsPerSlot
	if l.waitAt.IsZero() {
		return byLoad
	}
	w := 1 / (1 + float64(max(0, now.Sub(l.waitAt)))/float64(reportHalfWeightAge))
	byOwner := max(0, l.wait+float64(l.own-l.waitOwn)*secondsPerSlot)
	if l.wait == 0 {
		byOwner = byLoad
	}
	return w*byOwner + (1-w)*byLoad
}

// ObserveOwnerState records the state of a backend server that its capacity owner sends with each answer: granted and waiting
// requests, and the expected wait of one more.
func (r *Router) ObserveOwnerState(now time.Time, id fleet.BackendID, granted, waiting int, wait time.Duration) {
	if i, ok := r.index[id]; ok {
		l := &r.backends[i].load
		l.report(now, granted+waiting)
		l.wait, l.waitAt, l.waitOwn = wait.Seconds(), now, l.own
	}
}

// Begin counts a request sent to a backend server or its owner.
func (r *Router) Begin(now time.Time, id fleet.BackendID) {
	if i, ok := r.index[id]; ok {
		r.backends[i].load.addOwn(now, 1)
	}
}

// End counts the end of a request that Begin counted; serviceTime is how long it occupied a slot, or zero if it got none.
func (r *Router) End(now time.Time, id fleet.BackendID, serviceTime time.Duration) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	l := &r.backends[i].load
	l.addOwn(now, -1)
	if serviceTime > 0 {
		l.observeServiceTime(serviceTime)
	}
}
