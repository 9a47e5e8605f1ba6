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
	// firstWaitDelay joins the first requests of a burst at one host into one report.
	firstWaitDelay = 5 * time.Millisecond
	reportTimeout  = 2 * time.Second
	// maxPendingLoads and maxPendingInventories bound what is kept for a planner that cannot be reached; the oldest goes.
	maxPendingLoads       = 256
	maxPendingInventories = 256
)

// Reporter tells the planner what callers of this host wait for. It is safe for concurrent use.
type Reporter struct {
	cfg  ReporterSettings
	wake chan struct{}

	mu          sync.Mutex
	seq         uint64
	table       map[demandKey]*demandCount
	loads       []placement.LoadResult
	inventories map[fleet.BackendID]fleet.Inventory
	estimates   map[fleet.ModelID]estimate
}

// ReporterSettings of a Reporter.
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
	waiting map[*Waiter]struct{}
	running int
	calls   int
	alone   int
}

type estimate struct {
	at    time.Time
	known bool
	ready time.Duration
}

// Waiter is a request that waits for a replica or a slot.
type Waiter struct {
	r        *Reporter
	key      demandKey
	since    time.Time
	deadline time.Time
	alone    bool
}

// NewReporter returns a reporter.
func NewReporter(cfg ReporterSettings) *Reporter {
	return &Reporter{
		cfg: cfg, wake: make(chan struct{}, 1), table: map[demandKey]*demandCount{},
		inventories: map[fleet.BackendID]fleet.Inventory{}, estimates: map[fleet.ModelID]estimate{},
	}
}

func (r *Reporter) count(k demandKey) *demandCount {
	c := r.table[k]
	if c == nil {
		c = &demandCount{waiting: map[*Waiter]struct{}{}}
		r.table[k] = c
	}
	return c
}

// Wait enters a request that arrived. Without a replica of its model, urgent makes the report go out soon.
func (r *Reporter) Wait(t fleet.Target, c fleet.Class, deadline time.Time, urgent bool) *Waiter {
	w := &Waiter{r: r, key: demandKey{t, c}, since: time.Now(), deadline: deadline}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.count(w.key)
	n.calls++
	n.waiting[w] = struct{}{}
	if urgent && len(n.waiting) == 1 {
		r.wakeUp()
	}
	return w
}

// Run says that the request got its slot.
func (w *Waiter) Run() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	n := w.r.count(w.key)
	if _, ok := n.waiting[w]; ok {
		delete(n.waiting, w)
		n.running++
	}
}

// Again says that the request lost its slot and waits anew.
func (w *Waiter) Again() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	n := w.r.count(w.key)
	if _, ok := n.waiting[w]; !ok {
		n.running--
		n.waiting[w] = struct{}{}
	}
}

// Alone says that the request must run alone and not on the last replica of its model.
func (w *Waiter) Alone() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	if !w.alone {
		w.alone = true
		w.r.count(w.key).alone++
		w.r.wakeUp()
	}
}

// Done says that the request ended, running or not.
func (w *Waiter) Done() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	n := w.r.count(w.key)
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

// Load adds the measured end of a load to the next report.
func (r *Reporter) Load(l placement.LoadResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, l)
	if over := len(r.loads) - maxPendingLoads; over > 0 {
		r.loads = append([]placement.LoadResult(nil), r.loads[over:]...)
	}
}

// Inventory adds the cached checkpoints of an inventory to the next report.
func (r *Reporter) Inventory(inv fleet.Inventory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.inventories[inv.Backend]; !ok && len(r.inventories) >= maxPendingInventories {
		return
	}
	r.inventories[inv.Backend] = fleet.Inventory{Backend: inv.Backend, Incarnation: inv.Incarnation, Seq: inv.Seq, Cached: inv.Cached}
}

// Estimate returns the planner's last estimate of the time until a model is ready, less its age.
func (r *Reporter) Estimate(m fleet.ModelID) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.estimates[m]
	if !ok || !e.known {
		return 0, false
	}
	return max(e.ready-time.Since(e.at), 0), true
}

func (r *Reporter) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	repeat(ctx, reportInterval, firstWaitDelay, r.wake, r.send)
	return nil
}

func (r *Reporter) send(ctx context.Context) {
	req := r.report(time.Now())
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
		r.estimates[e.Model] = estimate{at: now, known: e.Known, ready: e.Ready}
	}
}

// report takes what is to be told and forgets counts that were taken.
func (r *Reporter) report(now time.Time) *hosts.DemandRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	req := &hosts.DemandRequest{Demand: placement.Demand{
		Host: r.cfg.Host, Incarnation: r.cfg.Incarnation(), Seq: r.seq, Place: r.cfg.Place,
	}}
	models := map[fleet.ModelID]bool{}
	for k, n := range r.table {
		e := placement.DemandEntry{
			Target: k.target, Class: k.class, Region: r.cfg.Place.Region,
			Waiting: len(n.waiting), Running: n.running, Calls: n.calls, Alone: n.alone,
		}
		n.calls = 0
		if e.Waiting == 0 && e.Running == 0 && e.Calls == 0 {
			delete(r.table, k)
			continue
		}
		for w := range n.waiting {
			if left := w.deadline.Sub(now); e.Earliest == 0 || left < e.Earliest {
				e.Earliest = max(left, time.Millisecond)
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
