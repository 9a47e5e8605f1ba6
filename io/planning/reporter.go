package planning

import (
	"context"
	"sync"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/placement"
	"toucanway/io/hosts"
)

const (
	reportInterval = time.Second
	// burstDelay is how long an urgent report is delayed, so that it covers the first requests of a burst at this host.
	burstDelay    = 5 * time.Millisecond
	reportTimeout = 2 * time.Second
	// maxPendingLoads and maxPendingInventories bound the load results and inventories that are kept while the planner cannot
	// be reached. Further load results replace the oldest ones; inventories of further backend servers are dropped.
	maxPendingLoads       = 256
	maxPendingInventories = 256
)

// Reporter reports the demand of this host's callers to the planner. It is safe for concurrent use.
type Reporter struct {
	cfg  ReporterSettings
	wake chan struct{}

	mu          sync.Mutex
	seq         uint64
	counts      map[demandKey]*demandCount
	loads       []placement.LoadResult
	inventories map[fleet.BackendID]fleet.Inventory
	estimates   map[fleet.ModelID]estimate
}

// ReporterSettings configures a Reporter.
type ReporterSettings struct {
	Host        fleet.HostID
	Place       fleet.Place
	Incarnation func() fleet.Incarnation
	Control     *hosts.GroupClient
}

type demandKey struct {
	target fleet.Target
	class  fleet.Class
}

type demandCount struct {
	waiting map[*TrackedRequest]struct{}
	running int
	calls   int
	alone   int
}

type estimate struct {
	receivedAt time.Time
	possible   bool
	ready      time.Duration
}

// TrackedRequest is a request that a Reporter counts from its arrival to its end. It waits for a replica or a slot, or runs.
type TrackedRequest struct {
	r        *Reporter
	key      demandKey
	since    time.Time
	deadline time.Time
	alone    bool
}

// NewReporter returns a reporter that has recorded nothing.
func NewReporter(cfg ReporterSettings) *Reporter {
	return &Reporter{
		cfg: cfg, wake: make(chan struct{}, 1), counts: map[demandKey]*demandCount{},
		inventories: map[fleet.BackendID]fleet.Inventory{}, estimates: map[fleet.ModelID]estimate{},
	}
}

func (r *Reporter) countOf(k demandKey) *demandCount {
	c := r.counts[k]
	if c == nil {
		c = &demandCount{waiting: map[*TrackedRequest]struct{}{}}
		r.counts[k] = c
	}
	return c
}

// AddRequest records a request that arrived. urgent makes the first waiting request of a target and class trigger a report
// soon; it is set when the model has no replica.
func (r *Reporter) AddRequest(t fleet.Target, c fleet.Class, deadline time.Time, urgent bool) *TrackedRequest {
	w := &TrackedRequest{r: r, key: demandKey{t, c}, since: time.Now(), deadline: deadline}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.countOf(w.key)
	n.calls++
	n.waiting[w] = struct{}{}
	if urgent && len(n.waiting) == 1 {
		r.wakeUp()
	}
	return w
}

// Started records that the request got its slot.
func (w *TrackedRequest) Started() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	n := w.r.countOf(w.key)
	if _, ok := n.waiting[w]; ok {
		delete(n.waiting, w)
		n.running++
	}
}

// Requeued records that the request lost its slot and waits for another one.
func (w *TrackedRequest) Requeued() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	n := w.r.countOf(w.key)
	if _, ok := n.waiting[w]; !ok {
		n.running--
		n.waiting[w] = struct{}{}
	}
}

// RequireAlone records that the request must run alone, and not on the last replica of its model.
func (w *TrackedRequest) RequireAlone() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	if !w.alone {
		w.alone = true
		w.r.countOf(w.key).alone++
		w.r.wakeUp()
	}
}

// Ended records that the request ended, whether it was running or waiting.
func (w *TrackedRequest) Ended() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	n := w.r.countOf(w.key)
	if w.alone {
		w.alone = false
		n.alone--
	}
	if _, ok := n.waiting[w]; ok {
		delete(n.waiting, w)
		return
	}
	n.running--
}

// AddLoadResult adds the measured result of a load to the next report.
func (r *Reporter) AddLoadResult(l placement.LoadResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, l)
	if over := len(r.loads) - maxPendingLoads; over > 0 {
		r.loads = append([]placement.LoadResult(nil), r.loads[over:]...)
	}
}

// AddInventory adds the cached checkpoints of an inventory to the next report.
func (r *Reporter) AddInventory(inv fleet.Inventory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.inventories[inv.Backend]; !ok && len(r.inventories) >= maxPendingInventories {
		return
	}
	r.inventories[inv.Backend] = fleet.Inventory{Backend: inv.Backend, Incarnation: inv.Incarnation, Seq: inv.Seq, Cached: inv.Cached}
}

// Estimate returns the planner's last estimate of the time until a model has a ready replica, minus the age of the estimate,
// and false if there is none.
func (r *Reporter) Estimate(m fleet.ModelID) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.estimates[m]
	if !ok || !e.possible {
		return 0, false
	}
	return max(e.ready-time.Since(e.receivedAt), 0), true
}

func (r *Reporter) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	callPeriodically(ctx, reportInterval, burstDelay, r.wake, r.send)
	return nil
}

func (r *Reporter) send(ctx context.Context) {
	req := r.buildReport(time.Now())
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	res, err := hosts.CallLeader[hosts.DemandRequest, hosts.DemandResponse](ctx, r.cfg.Control, hosts.ProcedureDemand, 0, req)
	if err != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.estimates)
	for _, e := range res.Estimates {
		r.estimates[e.Model] = estimate{receivedAt: now, possible: e.Possible, ready: e.Ready}
	}
}

// buildReport returns the next report and resets what is counted per report.
func (r *Reporter) buildReport(now time.Time) *hosts.DemandRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	req := &hosts.DemandRequest{Demand: placement.Demand{
		Host: r.cfg.Host, Incarnation: r.cfg.Incarnation(), Seq: r.seq, Place: r.cfg.Place,
	}}
	models := map[fleet.ModelID]bool{}
	for k, n := range r.counts {
		e := placement.DemandEntry{
			Target: k.target, Class: k.class, Region: r.cfg.Place.Region,
			Waiting: len(n.waiting), Running: n.running, Calls: n.calls, Alone: n.alone,
		}
		n.calls = 0
		if e.Waiting == 0 && e.Running == 0 && e.Calls == 0 {
			delete(r.counts, k)
			continue
		}
		for w := range n.waiting {
			if left := w.deadline.Sub(now); e.TimeToDeadline == 0 || left < e.TimeToDeadline {
				e.TimeToDeadline = max(left, time.Millisecond)
			}
			e.LongestWait = max(e.LongestWait, now.Sub(w.since))
		}
		if e.Waiting > 0 && !models[k.target.Model] {
			models[k.target.Model] = true
			req.Models = append(req.Models, k.target.Model)
		}
		req.Demand.Entries = append(req.Demand.Entries, e)
	}
	req.Loads, r.loads = r.loads, nil
	for id, inv := range r.inventories {
		req.Inventories = append(req.Inventories, inv)
		delete(r.inventories, id)
	}
	return req
}
