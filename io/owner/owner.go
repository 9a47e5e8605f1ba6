package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/orders"
	"toucanway/core/placement"
	"toucanway/io/engines"
	"toucanway/io/follow"
	"toucanway/io/hosts"
	"toucanway/io/jobs"
	"toucanway/io/metrics"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("owner")

// ErrStopped means that the host is shutting down.
var ErrStopped = Errors.NewType("stopped")

const logOwned = "ownership taken"

// maxStepInterval is the longest time between two steps of an owned backend server's orders.
const maxStepInterval = time.Second

// Settings configures an Owner.
type Settings struct {
	Host     fleet.HostID
	Follower *follow.Follower
	Engines  *engines.Client
	// Preempt asks the host of a grant to stop the request and resume it later; nil means that no host is asked.
	Preempt func(capacity.Preempt)
	// OnLoadResult is called with the result of each load, OnInventory with each inventory that was read, for the planner.
	OnLoadResult func(placement.LoadResult)
	OnInventory  func(fleet.Inventory)
	// Table returns the configurable part of a capacity table's settings; nil means the defaults.
	Table func() capacity.Settings
	// Log receives changes of ownership; nil means no log.
	Log *zap.Logger
	// Metrics holds the owner's metrics; nil means that nothing is counted.
	Metrics *metrics.Registry
}

// Owner runs the capacity tables and orders of the owned backend servers. It is safe for concurrent use. Lock order: mu, the
// mu of one ownership, then either the follower's lock or that of jobs.
type Owner struct {
	cfg     Settings
	metrics ownerMetrics
	wake    chan struct{}
	jobs    jobs.Group

	mu         sync.Mutex
	ownerships map[fleet.BackendID]*ownership
}

// New returns an Owner that owns no backend server until Run.
func New(cfg Settings) *Owner {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Table == nil {
		cfg.Table = func() capacity.Settings { return capacity.Settings{} }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New(metrics.Options{})
	}
	o := &Owner{
		cfg: cfg, metrics: newOwnerMetrics(cfg.Metrics), wake: make(chan struct{}, 1), ownerships: map[fleet.BackendID]*ownership{},
	}
	cfg.Metrics.GaugeFunc("backend-servers-owned", "Backend servers whose capacity this host grants.", func() int64 {
		return int64(len(o.Owned()))
	})
	return o
}

// Register adds the capacity procedures to a server.
func (o *Owner) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedureAcquire, func(ctx context.Context, _ fleet.HostID, a *capacity.Acquire) (*hosts.AcquireResponse, error) {
		return o.Acquire(ctx, a)
	})
	hosts.Handle(srv, hosts.ProcedureRelease, func(_ context.Context, _ fleet.HostID, r *hosts.ReleaseRequest) (*hosts.ReleaseResponse, error) {
		o.Release(r)
		return &hosts.ReleaseResponse{}, nil
	})
}

// Run follows the control state and advances the tables and orders with time until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	o.jobs.Start(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		changed := o.cfg.Follower.Changed()
		o.syncOwnerships()
		timer.Reset(time.Until(o.step()))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-o.wake:
		case <-timer.C:
		}
	}
	o.mu.Lock()
	for id, e := range o.ownerships {
		e.close()
		delete(o.ownerships, id)
	}
	o.mu.Unlock()
	return o.jobs.Stop()
}

func (o *Owner) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// ownedBackend is a backend server of which this host is the owner in the control state, with its replica records.
type ownedBackend struct {
	backend  control.Backend
	replicas []control.Replica
}

// syncOwnerships adds, removes and updates ownerships so that they match the control state.
func (o *Owner) syncOwnerships() {
	owned := map[fleet.BackendID]ownedBackend{}
	sessions := map[fleet.HostID]bool{}
	o.cfg.Follower.Read(func(s *control.State) {
		for _, b := range s.Backends() {
			if b.Owner == o.cfg.Host && !b.Lost && b.Announcement.Kind == fleet.KindEngine {
				owned[b.Announcement.ID] = ownedBackend{backend: b, replicas: s.ReplicasOn(b.Announcement.ID)}
			}
		}
		for _, v := range s.Sessions() {
			sessions[v.Host] = true
		}
	})
	now := time.Now()
	o.mu.Lock()
	var current []*ownership
	for id, e := range o.ownerships {
		m, ok := owned[id]
		if !ok || m.backend.Fence != e.fence || m.backend.Announcement.Incarnation != e.incarnation {
			e.close()
			delete(o.ownerships, id)
		}
	}
	for id, m := range owned {
		e := o.ownerships[id]
		if e == nil {
			e = o.newOwnership(now, m)
			o.ownerships[id] = e
		}
		current = append(current, e)
	}
	o.mu.Unlock()
	for _, e := range current {
		m := owned[e.id]
		e.update(now, m, sessions)
	}
}

// step runs the step of every ownership and returns when the next one is due.
func (o *Owner) step() time.Time {
	now := time.Now()
	next := now.Add(maxStepInterval)
	for _, e := range o.allOwnerships() {
		if due := e.step(now); due.Before(next) {
			next = due
		}
	}
	return next
}

func (o *Owner) allOwnerships() []*ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*ownership, 0, len(o.ownerships))
	for _, e := range o.ownerships {
		out = append(out, e)
	}
	return out
}

func (o *Owner) ownershipOf(id fleet.BackendID) *ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ownerships[id]
}

// Acquire requests a grant and waits until it is granted or refused. StatusNotLeader means that this host does not own the
// backend server or has no session lease. The request is withdrawn when the context ends.
func (o *Owner) Acquire(ctx context.Context, a *capacity.Acquire) (*hosts.AcquireResponse, error) {
	e := o.ownershipOf(a.Backend)
	if e == nil || !o.cfg.Follower.HasLease(time.Now()) {
		return &hosts.AcquireResponse{Status: hosts.StatusNotLeader}, nil
	}
	requested := time.Now()
	ch := e.acquire(requested, *a)
	if ch == nil {
		return &hosts.AcquireResponse{Status: hosts.StatusNotLeader}, nil
	}
	o.metrics.waiting.add(a.Class, 1)
	defer o.metrics.waiting.add(a.Class, -1)
	select {
	case answer, ok := <-ch:
		if !ok {
			return &hosts.AcquireResponse{Status: hosts.StatusNotLeader}, nil
		}
		o.metrics.countAnswer(a.Class.String(), answer)
		if answer.Grant != nil {
			o.metrics.grantWait.With(a.Class.String()).Update(int64(time.Since(requested)))
		}
		return &hosts.AcquireResponse{Answer: answer}, nil
	case <-ctx.Done():
		e.cancel(time.Now(), capacity.Cancel{Backend: a.Backend, Host: a.Host, Request: a.Request})
		return nil, ctx.Err()
	}
}

// Release processes outcomes of grants and withdrawals of requests.
func (o *Owner) Release(r *hosts.ReleaseRequest) {
	now := time.Now()
	for _, release := range r.Releases {
		if e := o.ownershipOf(release.Backend); e != nil {
			e.handle(now, capacity.ReleaseEvent{Release: release})
		}
	}
	for _, cancel := range r.Cancels {
		if e := o.ownershipOf(cancel.Backend); e != nil {
			e.cancel(now, cancel)
		}
	}
}

func (o *Owner) preempt(p capacity.Preempt) {
	if o.cfg.Preempt != nil {
		o.cfg.Preempt(p)
	}
}

// State returns the load of a backend server, and whether this host owns it.
func (o *Owner) State(id fleet.BackendID) (capacity.QueueState, bool) {
	e := o.ownershipOf(id)
	if e == nil {
		return capacity.QueueState{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.State(time.Now()), true
}

// Owned returns the backend servers that this host owns, sorted.
func (o *Owner) Owned() []fleet.BackendID {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]fleet.BackendID, 0, len(o.ownerships))
	for id := range o.ownerships {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// newOwnership returns the state of an ownership that has just begun.
func (o *Owner) newOwnership(now time.Time, m ownedBackend) *ownership {
	a := m.backend.Announcement
	doc, _ := o.cfg.Follower.Document()
	cfg := o.cfg.Table()
	cfg.Backend, cfg.Incarnation, cfg.Fence = a.ID, a.Incarnation, m.backend.Fence
	cfg.Memory, cfg.Slots, cfg.OwnedSince = a.Memory, a.Slots, now
	cfg.ChecksFence = doc.ChecksFence(a)
	o.cfg.Log.Info(logOwned, zap.String("backend-server", string(a.ID)), zap.Uint64("fence", uint64(m.backend.Fence)))
	return &ownership{
		owner: o, id: a.ID, address: a.Address, fence: m.backend.Fence, incarnation: a.Incarnation,
		table:    capacity.New(cfg),
		orders:   orders.New(orders.Settings{Host: o.cfg.Host}, a.ID),
		waiters:  map[waiterKey]chan capacity.Answer{},
		admitted: map[fleet.OrderID]bool{},
	}
}
