package routing

import (
	"cmp"
	"time"

	"toucanway/core/fleet"
)

const (
	// othersHalf is the age at which a report of other hosts' load counts half against its running mean.
	othersHalf = 2 * time.Second
	// othersGain is the weight of a new report in the running mean.
	othersGain = 0.1
	// holdGain is the weight of a new service time in the running mean.
	holdGain = 0.1
	// samples is the number of past counts of own requests; at one every sampleEvery they cover the lag of reports.
	samples     = 16
	sampleEvery = 100 * time.Millisecond
	// maxReported bounds what a backend server may report of its running or queued requests.
	maxReported = 1 << 16
)

// load estimates the requests that a backend server runs and holds queued.
type load struct {
	own    int
	others float64
	mean   float64
	at     time.Time
	seq    uint64
	hold   float64
	// wait is the owner's estimate at waitAt, when waitOwn own requests were counted.
	wait    float64
	waitAt  time.Time
	waitOwn int
	past    [samples]ownSample
	head    int
}

type ownSample struct {
	at  time.Time
	own int
}

// change counts own requests and keeps past counts, so that a late report can be told apart from own traffic.
func (l *load) change(now time.Time, by int) {
	if last := &l.past[l.head]; now.Sub(last.at) >= sampleEvery {
		l.head = (l.head + 1) % samples
		l.past[l.head] = ownSample{at: now, own: l.own}
	}
	l.own = max(0, l.own+by)
}

// ownAt returns the own requests at a past time.
func (l *load) ownAt(at time.Time) int {
	own := l.own
	for i := range samples {
		s := &l.past[(l.head-i+samples)%samples]
		if s.at.IsZero() || s.at.Before(at) {
			break
		}
		own = s.own
	}
	return own
}

// report takes the total at a past time and keeps the part of other hosts.
func (l *load) report(at time.Time, total int) {
	if at.Before(l.at) {
		return
	}
	others := float64(max(0, total-l.ownAt(at)))
	if l.at.IsZero() {
		l.mean = others
	}
	l.mean += othersGain * (others - l.mean)
	l.others = others
	l.at = at
}

// estimate returns the expected number of requests now: own ones exactly, those of others drifting to their mean as the
// report ages.
func (l *load) estimate(now time.Time) float64 {
	if l.at.IsZero() {
		return float64(l.own)
	}
	w := 1 / (1 + float64(max(0, now.Sub(l.at)))/float64(othersHalf))
	return float64(l.own) + w*l.others + (1-w)*l.mean
}

// trust returns how far the estimate is known, from 0 to 1: own requests are, those of others change as fast as requests
// end. The others are those of an average server, since one that was reported idle may have got as many as any since then.
func (l *load) trust(now time.Time, others float64) float64 {
	if l.at.IsZero() {
		return 1
	}
	turnover := max(0, now.Sub(l.at).Seconds()) / l.holdSeconds()
	unknown := 1 + turnover*others/float64(l.own+1)/2
	return 1 / (unknown * unknown)
}

func (l *load) observeHold(hold time.Duration) {
	l.hold = l.holdSeconds() + holdGain*(hold.Seconds()-l.holdSeconds())
}

func (l *load) holdSeconds() float64 { return cmp.Or(l.hold, DefaultHold.Seconds()) }

// Report takes a backend server's load report; late ones and those of another incarnation are dropped.
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

// queueWait returns the expected seconds until a slot is free: the owner's estimate with own requests since then, drifting
// to one from the load as it ages.
func (l *load) queueWait(now time.Time, slots float64) float64 {
	hold := l.holdSeconds() / slots
	byLoad := max(0, l.estimate(now)-slots+1) * hold
	if l.waitAt.IsZero() {
		return byLoad
	}
	w := 1 / (1 + float64(max(0, now.Sub(l.waitAt)))/float64(othersHalf))
	byOwner := max(0, l.wait+float64(l.own-l.waitOwn)*hold)
	if l.wait == 0 {
		byOwner = byLoad
	}
	return w*byOwner + (1-w)*byLoad
}

// OwnerState takes what the capacity owner says of a backend server with its answers: granted and waiting requests, and the
// wait that it expects for another one.
func (r *Router) OwnerState(now time.Time, id fleet.BackendID, granted, waiting int, wait time.Duration) {
	if i, ok := r.index[id]; ok {
		l := &r.backends[i].load
		l.report(now, granted+waiting)
		l.wait, l.waitAt, l.waitOwn = wait.Seconds(), now, l.own
	}
}

// Begin counts a request sent to a backend server or its owner.
func (r *Router) Begin(now time.Time, id fleet.BackendID) {
	if i, ok := r.index[id]; ok {
		r.backends[i].load.change(now, 1)
	}
}

// End counts a request that ended there; hold is how long it had its slot, zero when it got none.
func (r *Router) End(now time.Time, id fleet.BackendID, hold time.Duration) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	l := &r.backends[i].load
	l.change(now, -1)
	if hold > 0 {
		l.observeHold(hold)
	}
}
