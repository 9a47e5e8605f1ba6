package placementpolicy

import (
	"fmt"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
)

// measurements are the measurements of one run.
type measurements struct {
	// coldWaits holds the waits of requests that had to wait for a replica to become ready; a refused request counts with its
	// deadline.
	coldWaits []time.Duration
	// idleHours sums the hours in which ready replicas ran no request, each weighted by its share of the memory of the engine.
	idleHours float64
	// peakCount and peakServedCount count all requests of the peak and those that were started before their deadline.
	peakCount, peakServedCount      int
	requestCount, servedCount       int
	maxStoreLoads, maxStartsPerTick int
	storeOverloaded                 time.Duration
	loadCount, rejectedCommands     int
	// restoreTimes holds, for each model that lost all replicas, the time from the first call after that until a replica was
	// ready.
	restoreTimes []time.Duration
}

// quantile returns a quantile of the times in seconds, zero if there are none.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[min(len(all)-1, int(q*float64(len(all))))].Seconds()
}

// queueArrivals queues the requests that arrive in this tick.
func (l *loop) queueArrivals() {
	for ; l.nextRequest < len(l.requests) && l.requests[l.nextRequest].at < l.now+tick; l.nextRequest++ {
		r := l.requests[l.nextRequest]
		l.requestCount++
		if l.inPeak(r.at) {
			l.peakCount++
		}
		l.waiting[r.model] = append(l.waiting[r.model], r)
		if firstCall, ok := l.outages[r.model]; ok && firstCall < 0 {
			l.outages[r.model] = l.now
		}
		if l.callsByHost[r.host] == nil {
			l.callsByHost[r.host] = map[int]int{}
		}
		l.callsByHost[r.host][r.model]++
	}
}

func (l *loop) inPeak(at time.Duration) bool {
	return at >= l.sc.peakAt && at < l.sc.peakAt+peakDuration
}

// serveRequests removes finished requests, starts waiting ones in the order of class and deadline, and refuses those whose
// deadline has passed.
func (l *loop) serveRequests() {
	ready := make([][]*replica, l.sc.models)
	for _, id := range sortedKeys(l.replicas) {
		r := l.replicas[id]
		r.serviceEnds = slices.DeleteFunc(r.serviceEnds, func(end time.Duration) bool { return end <= l.now })
		if rec, ok := l.state.Replica(id); r.ready && ok && rec.State == control.ReplicaReady {
			ready[r.model] = append(ready[r.model], r)
		}
		if r.ready && len(r.serviceEnds) == 0 {
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
		waiting := queue[:0]
		for _, r := range queue {
			r := r
			switch replica := leastLoadedReplica(ready[m]); {
			case l.now > r.at+r.deadline:
				l.recordEnd(r, r.deadline, false)
			case replica == nil:
				waiting = append(waiting, r)
			default:
				replica.serviceEnds = append(replica.serviceEnds, l.now+r.service)
				l.recordEnd(r, max(0, l.now-r.at), true)
			}
		}
		l.waiting[m] = waiting
	}
}

// recordEnd counts a request that was started or refused. One that waited longer than two ticks and had no ready replica at its
// arrival is a cold start.
func (l *loop) recordEnd(r request, waited time.Duration, served bool) {
	if served {
		l.servedCount++
		if l.inPeak(r.at) {
			l.peakServedCount++
		}
	}
	if waited > 2*tick && l.readySince(r.model) > r.at {
		l.coldWaits = append(l.coldWaits, waited)
	}
}

// readySince returns when the first of the ready replicas of a model became ready at full store speed, or the current time if
// there is none.
func (l *loop) readySince(m int) time.Duration {
	since := l.now
	for _, r := range l.replicas {
		if r.model == m && r.ready {
			since = min(since, r.startedAt+l.catalogue.Models[m].LoadTime[r.tier])
		}
	}
	return since
}

// leastLoadedReplica returns the replica with the fewest running requests among those with a free slot, nil if there is none.
func leastLoadedReplica(replicas []*replica) *replica {
	const slots = 8
	var best *replica
	for _, r := range replicas {
		if len(r.serviceEnds) < slots && (best == nil || len(r.serviceEnds) < len(best.serviceEnds)) {
			best = r
		}
	}
	return best
}

// reportDemand reports the demand of each host to the policy.
func (l *loop) reportDemand() {
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
			e = &placement.DemandEntry{Target: fleet.Target{Model: l.catalogue.Models[m].ID}, Class: class, Region: placeOf(host).Region}
			entries[host][key{m, class}] = e
		}
		return e
	}
	for m := range l.waiting {
		for _, r := range l.waiting[m] {
			e := entry(r.host, m, r.class)
			e.Waiting++
			if left := r.at + r.deadline - l.now; e.TimeToDeadline == 0 || left < e.TimeToDeadline {
				e.TimeToDeadline = max(left, time.Millisecond)
			}
		}
	}
	for _, id := range sortedKeys(l.replicas) {
		r := l.replicas[id]
		if n := len(r.serviceEnds); n > 0 {
			entry(int(id)%l.sc.hosts, r.model, fleet.ClassStandard).Running += n
		}
	}
	for h, calls := range l.callsByHost {
		for m, n := range calls {
			entry(h, m, fleet.ClassStandard).Calls += n
		}
	}
	clear(l.callsByHost)
	l.seq++
	for h := range l.sc.hosts {
		d := placement.Demand{Host: fleet.HostID(fmt.Sprintf("h%d", h)), Incarnation: 1, Seq: l.seq, Place: placeOf(h)}
		for m := range l.sc.models {
			for c := range fleet.Class(fleet.NumClasses) {
				if e := entries[h][key{m, c}]; e != nil {
					d.Entries = append(d.Entries, *e)
				}
			}
		}
		l.policy.ObserveDemand(l.start.Add(l.now), d)
	}
}
