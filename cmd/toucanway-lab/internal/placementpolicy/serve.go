package placementpolicy

import (
	"fmt"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
)

// figures are what one run measures.
type figures struct {
	// cold are the waits of requests that arrived when their model had no ready replica; those refused count their
	// deadline.
	cold      []time.Duration
	idleHours float64
	// peakAll and peakServed count the requests of the peak and those started before their deadline.
	peakAll, peakServed int
	all, served         int
	maxStore, maxStarts int
	overStore           time.Duration
	loadCount, rejected int
	// restored is the time from the first call after the loss until each model without replica was ready again.
	restored []time.Duration
}

// quantile returns a quantile in seconds.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[min(len(all)-1, int(q*float64(len(all))))].Seconds()
}

// arrive queues the requests of this tick.
func (l *loop) arrive() {
	for ; l.next < len(l.requests) && l.requests[l.next].at < l.now+tick; l.next++ {
		r := l.requests[l.next]
		l.all++
		if l.inPeak(r.at) {
			l.peakAll++
		}
		l.waiting[r.model] = append(l.waiting[r.model], r)
		if at, ok := l.outage[r.model]; ok && at < 0 {
			l.outage[r.model] = l.now
		}
		if l.calls[r.host] == nil {
			l.calls[r.host] = map[int]int{}
		}
		l.calls[r.host][r.model]++
	}
}

func (l *loop) inPeak(at time.Duration) bool { return at >= l.sc.peakAt && at < l.sc.peakAt+peakFor }

// serve ends requests, begins waiting ones by class and deadline, and refuses those past their deadline.
func (l *loop) serve() {
	ready := make([][]*replica, l.sc.models)
	for _, id := range sortedKeys(l.replicas) {
		r := l.replicas[id]
		r.running = slices.DeleteFunc(r.running, func(end time.Duration) bool { return end <= l.now })
		if rec, ok := l.state.Replica(id); r.ready && ok && rec.State == control.ReplicaReady {
			ready[r.model] = append(ready[r.model], r)
		}
		if r.ready && len(r.running) == 0 {
			l.idleHours += tick.Hours() * float64(l.catalogue.Models[r.model].Memory) / float64(l.sc.memory)
		}
	}
	for m := range l.waiting {
		queue := l.waiting[m]
		slices.SortStableFunc(queue, func(a, b request) int {
			if a.class != b.class {
				return int(a.class - b.class)
			}
			return int(a.at + a.deadline - b.at - b.deadline)
		})
		kept := queue[:0]
		for _, r := range queue {
			r := r
			switch slot := free(ready[m]); {
			case l.now > r.at+r.deadline:
				l.finish(r, r.deadline, false)
			case slot == nil:
				kept = append(kept, r)
			default:
				slot.running = append(slot.running, l.now+r.service)
				l.finish(r, max(0, l.now-r.at), true)
			}
		}
		l.waiting[m] = kept
	}
}

// finish counts a request; one that waited longer than a tick without a ready replica at its arrival is a cold start.
func (l *loop) finish(r request, waited time.Duration, served bool) {
	if served {
		l.served++
		if l.inPeak(r.at) {
			l.peakServed++
		}
	}
	if waited > 2*tick && l.readySince(r.model) > r.at {
		l.cold = append(l.cold, waited)
	}
}

// readySince returns when the oldest ready replica of a model became ready, or the present when there is none.
func (l *loop) readySince(m int) time.Duration {
	since := l.now
	for _, r := range l.replicas {
		if r.model == m && r.ready {
			since = min(since, r.began+l.catalogue.Models[m].LoadTime[r.tier])
		}
	}
	return since
}

func free(replicas []*replica) *replica {
	const slots = 8
	var best *replica
	for _, r := range replicas {
		if len(r.running) < slots && (best == nil || len(r.running) < len(best.running)) {
			best = r
		}
	}
	return best
}

// report sends each host's demand.
func (l *loop) report() {
	type key struct {
		model int
		class fleet.Class
	}
	entries := make([]map[key]*placement.DemandEntry, l.sc.hosts)
	entry := func(host, m int, class fleet.Class) *placement.DemandEntry {
		if entries[host] == nil {
			entries[host] = map[key]*placement.DemandEntry{}
		}
		e := entries[host][key{m, class}]
		if e == nil {
			e = &placement.DemandEntry{Target: fleet.Target{Model: l.catalogue.Models[m].ID}, Class: class, Region: place(host).Region}
			entries[host][key{m, class}] = e
		}
		return e
	}
	for m := range l.waiting {
		for _, r := range l.waiting[m] {
			e := entry(r.host, m, r.class)
			e.Waiting++
			if left := r.at + r.deadline - l.now; e.Earliest == 0 || left < e.Earliest {
				e.Earliest = max(left, time.Millisecond)
			}
		}
	}
	for _, id := range sortedKeys(l.replicas) {
		r := l.replicas[id]
		if n := len(r.running); n > 0 {
			entry(int(id)%l.sc.hosts, r.model, fleet.ClassStandard).Running += n
		}
	}
	for h, calls := range l.calls {
		for m, n := range calls {
			entry(h, m, fleet.ClassStandard).Calls += n
		}
	}
	clear(l.calls)
	l.seq++
	for h := range l.sc.hosts {
		d := placement.Demand{Host: fleet.HostID(fmt.Sprintf("h%d", h)), Incarnation: 1, Seq: l.seq, Place: place(h)}
		for m := range l.sc.models {
			for c := range fleet.Class(fleet.Classes) {
				if e := entries[h][key{m, c}]; e != nil {
					d.Entries = append(d.Entries, *e)
				}
			}
		}
		l.policy.ObserveDemand(l.start.Add(l.now), d)
	}
}
