package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/orders"
	"toucanway/core/placement"
)

// waiterKey names an Acquire that waits for its answer.
type waiterKey struct {
	host    fleet.HostID
	request fleet.RequestID
}

// silentAfter is the number of inventories without an answer after which a backend server counts as silent.
const silentAfter = 2

// entry is one owned backend server under one fencing token.
type entry struct {
	owner       *Owner
	id          fleet.BackendID
	address     string
	fence       fleet.Fence
	incarnation fleet.Incarnation

	mu       sync.Mutex
	closed   bool
	table    *capacity.Table
	orders   *orders.Owner
	replicas []capacity.Replica
	leaving  bool
	sessions map[fleet.HostID]bool
	waiters  map[waiterKey]chan capacity.Answer
	// failures counts inventories without an answer since the last one with.
	failures int
	// admitted holds the load orders that the table has memory for.
	admitted map[fleet.OrderID]bool
}

// close answers everyone who waits that the ownership ended.
func (e *entry) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for k, ch := range e.waiters {
		close(ch)
		delete(e.waiters, k)
	}
}

// update tells the table of changes in the control state.
func (e *entry) update(now time.Time, m owned, sessions map[fleet.HostID]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]capacity.Replica, 0, len(m.replicas))
	for _, r := range m.replicas {
		list = append(list, capacity.Replica{
			Order: r.Order, Model: r.Model, Memory: r.Memory, Intended: r.State == control.ReplicaIntended,
			Ready: r.State == control.ReplicaReady,
		})
	}
	if e.replicas == nil || !slices.Equal(list, e.replicas) {
		e.replicas = list
		e.apply(now, e.table.Handle(now, capacity.ReplicasEvent{Replicas: list}))
	}
	if m.backend.Leaving && !e.leaving {
		e.leaving = true
		e.apply(now, e.table.Handle(now, capacity.DrainEvent{}))
	}
	for h := range e.sessions {
		if !sessions[h] {
			e.apply(now, e.table.Handle(now, capacity.SessionClosedEvent{Host: h}))
		}
	}
	e.sessions = sessions
}

// step lets time pass and returns when the table is due next.
func (e *entry) step(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return now.Add(stepInterval)
	}
	if due, ok := e.table.NextTick(); ok && !due.After(now) {
		e.apply(now, e.table.Handle(now, capacity.TickEvent{}))
	}
	e.stepOrders(now)
	if due, ok := e.table.NextTick(); ok {
		return due
	}
	return now.Add(stepInterval)
}

func (e *entry) stepOrders(now time.Time) {
	var effects []orders.Effect
	lease := e.owner.cfg.Follower.LeaseEnd()
	e.owner.cfg.Follower.Read(func(s *control.State) {
		effects = e.orders.Step(now, orders.View{State: s, Lease: lease, Running: e.table.Running})
	})
	for _, ef := range effects {
		e.applyOrder(ef)
	}
}

// handle applies an event to the table.
func (e *entry) handle(now time.Time, ev capacity.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.apply(now, e.table.Handle(now, ev))
	e.owner.wakeUp()
}

// acquire enters a request and returns the channel of its answer, which is closed when the ownership ends; nil means that
// it ended already.
func (e *entry) acquire(now time.Time, a capacity.Acquire) <-chan capacity.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	k := waiterKey{a.Host, a.Request}
	if old := e.waiters[k]; old != nil {
		// The same request came again on another connection; the first one's answer would be lost.
		close(old)
	}
	ch := make(chan capacity.Answer, 1)
	e.waiters[k] = ch
	e.apply(now, e.table.Handle(now, capacity.AcquireEvent{Acquire: a}))
	e.owner.wakeUp()
	return ch
}

// cancel withdraws a request; a grant that was answered meanwhile counts as unused.
func (e *entry) cancel(now time.Time, c capacity.Cancel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiters, waiterKey{c.Host, c.Request})
	if e.closed {
		return
	}
	e.apply(now, e.table.Handle(now, capacity.CancelEvent{Cancel: c}))
	e.owner.wakeUp()
}

// apply carries out the effects of the table; mu is held.
func (e *entry) apply(now time.Time, effects []capacity.Effect) {
	for _, ef := range effects {
		switch ef := ef.(type) {
		case capacity.Granted:
			e.granted(now, ef)
		case capacity.Refused:
			e.answer(ef.Host, ef.Request, capacity.Answer{Refusal: ef.Refusal, Queue: e.table.State(now)})
		case capacity.Cancelled:
		case capacity.Preempt:
			e.owner.preempt(ef)
		case capacity.LoadAdapter:
			e.adapter(ef.Order)
		case capacity.UnloadAdapter:
			e.adapter(ef.Order)
		case capacity.AdmitLoad:
			e.admitted[ef.Order] = true
		case capacity.ReadInventory:
			e.readInventory()
		default:
			panic("owner: effect without a handler")
		}
	}
}

// granted passes a grant on, unless the lease ended since the request came: then another host may own the backend server
// before the grant is used.
func (e *entry) granted(now time.Time, g capacity.Granted) {
	if e.owner.cfg.Follower.HasLease(now) {
		if e.answer(g.Host, g.Grant.Request, capacity.Answer{Grant: &g.Grant, Queue: e.table.State(now)}) {
			return
		}
	}
	e.answer(g.Host, g.Grant.Request, capacity.Answer{Refusal: fleet.Refuse(fleet.CodeConfigurationStale, time.Second,
		"the owner of the backend server lost its session lease; send the request again")})
	e.apply(now, e.table.Handle(now, capacity.ReleaseEvent{Release: capacity.Release{
		Backend: e.id, Fence: e.fence, ID: g.Grant.ID, Host: g.Host, Outcome: capacity.OutcomeUnused,
	}}))
}

// answer hands an answer to whoever waits for it and reports whether someone did.
func (e *entry) answer(host fleet.HostID, id fleet.RequestID, a capacity.Answer) bool {
	k := waiterKey{host, id}
	ch := e.waiters[k]
	if ch == nil {
		return false
	}
	delete(e.waiters, k)
	ch <- a
	return true
}

func (e *entry) adapter(o fleet.Order) {
	e.owner.jobs.Run(func(ctx context.Context) {
		outcome := fleet.OrderRefused
		if e.owner.cfg.Follower.HasLease(time.Now()) {
			outcome, _ = e.owner.cfg.Engines.Order(ctx, e.address, o)
		}
		e.owner.met.adapterOrder(o.Kind, outcome)
		e.handle(time.Now(), capacity.AdapterEvent{Order: o.ID, Outcome: outcome})
	})
}

// readInventory asks for an inventory for the table; the table asks again when none comes.
func (e *entry) readInventory() {
	e.owner.jobs.Run(func(ctx context.Context) {
		asked := time.Now()
		inv, err := e.owner.cfg.Engines.Inventory(ctx, e.address, e.fence)
		if err != nil {
			e.unanswered(time.Now())
			return
		}
		if inv.Backend != e.id || inv.Incarnation != e.incarnation {
			return
		}
		e.answered()
		e.handle(time.Now(), capacity.InventoryEvent{Asked: asked, Inventory: inv})
		if e.owner.cfg.Inventory != nil {
			e.owner.cfg.Inventory(inv)
		}
	})
}

func (e *entry) answered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = 0
}

// unanswered counts inventories that did not come, and tells the table when the backend server is silent.
func (e *entry) unanswered(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures++
	e.owner.met.mute.With().Inc(1)
	if !e.closed && e.failures >= silentAfter {
		e.apply(now, e.table.Handle(now, capacity.UnresponsiveEvent{}))
		e.owner.wakeUp()
	}
}

// applyOrder carries out one effect of the orders; mu is held.
func (e *entry) applyOrder(ef orders.Effect) {
	switch ef := ef.(type) {
	case orders.Propose:
		if !e.mayPropose(ef.Command) {
			return
		}
		e.owner.jobs.Run(func(ctx context.Context) {
			// A lost or rejected proposal is repeated by the orders from the state they see.
			_, _ = e.owner.cfg.Follower.Propose(ctx, ef.Command)
		})
	case orders.Send:
		e.owner.jobs.Run(func(ctx context.Context) { e.send(ctx, ef) })
	case orders.ReadInventory:
		e.owner.jobs.Run(func(ctx context.Context) { e.readForOrders(ctx, ef) })
	case orders.StopGrants:
		// The replica is no longer ready in the control state, which the table learns from its records.
	case orders.LoadFinished:
		r := placement.LoadResult{
			Order: ef.Order, Model: ef.Model, Backend: ef.Backend, Incarnation: ef.Incarnation,
			Tier: ef.Tier, Took: ef.Took, Failed: ef.Failed,
		}
		e.owner.met.loaded(r)
		if e.owner.cfg.Measured != nil {
			e.owner.cfg.Measured(r)
		}
	default:
		panic("owner: effect without a handler")
	}
}

// mayPropose holds back the sending of a load until the table has its memory free of grants.
func (e *entry) mayPropose(c control.Command) bool {
	r, ok := c.(*control.ReportOrder)
	if !ok || r.State != control.ReplicaSent {
		return true
	}
	return e.admitted[r.Order]
}

func (e *entry) send(ctx context.Context, s orders.Send) {
	outcome := fleet.OrderRefused
	if now := time.Now(); now.Before(s.NotAfter) && e.owner.cfg.Follower.HasLease(now) {
		outcome, _ = e.owner.cfg.Engines.Order(ctx, e.address, s.Order)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.RecordOutcome(time.Now(), s.Order.ID, outcome)
	e.owner.wakeUp()
}

func (e *entry) readForOrders(ctx context.Context, r orders.ReadInventory) {
	asked := time.Now()
	inv, err := e.owner.cfg.Engines.Inventory(ctx, e.address, r.Fence)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.orders.RecordInventory(now, r.Read, nil)
		return
	}
	e.orders.RecordInventory(now, r.Read, &inv)
	if !e.closed && inv.Backend == e.id && inv.Incarnation == e.incarnation {
		e.apply(now, e.table.Handle(now, capacity.InventoryEvent{Asked: asked, Inventory: inv}))
	}
	if e.owner.cfg.Inventory != nil {
		e.owner.cfg.Inventory(inv)
	}
	e.owner.wakeUp()
}
