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

// waiterKey identifies an Acquire that waits for its answer.
type waiterKey struct {
	host    fleet.HostID
	request fleet.RequestID
}

// maxUnanswered is the number of consecutive unanswered inventory reads after which a backend server counts as unresponsive.
const maxUnanswered = 2

// ownership is the state of one owned backend server under one fencing token.
type ownership struct {
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
	// unansweredReads counts the consecutive inventory reads without an answer.
	unansweredReads int
	// admitted holds the load orders that the table has memory for.
	admitted map[fleet.OrderID]bool
}

// close ends the ownership. It closes the channels of all waiting requests to tell them so.
func (e *ownership) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for k, ch := range e.waiters {
		close(ch)
		delete(e.waiters, k)
	}
}

// update passes changes of the control state to the table.
func (e *ownership) update(now time.Time, m ownedBackend, sessions map[fleet.HostID]bool) {
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

// step advances the table and the orders to now and returns when the next step is due.
func (e *ownership) step(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return now.Add(maxStepInterval)
	}
	if due, ok := e.table.NextTick(); ok && !due.After(now) {
		e.apply(now, e.table.Handle(now, capacity.TickEvent{}))
	}
	e.stepOrders(now)
	if due, ok := e.table.NextTick(); ok {
		return due
	}
	return now.Add(maxStepInterval)
}

func (e *ownership) stepOrders(now time.Time) {
	var effects []orders.Effect
	lease := e.owner.cfg.Follower.LeaseEnd()
	e.owner.cfg.Follower.Read(func(s *control.State) {
		effects = e.orders.Step(now, orders.View{State: s, LeaseEnd: lease, Running: e.table.Running})
	})
	for _, ef := range effects {
		e.applyOrderEffect(ef)
	}
}

// handle applies an event to the table.
func (e *ownership) handle(now time.Time, ev capacity.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.apply(now, e.table.Handle(now, ev))
	e.owner.wakeUp()
}

// acquire queues a request and returns the channel of its answer, which is closed when the ownership ends. It returns nil if
// the ownership has ended already.
func (e *ownership) acquire(now time.Time, a capacity.Acquire) <-chan capacity.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	k := waiterKey{a.Host, a.Request}
	if old := e.waiters[k]; old != nil {
		// The request was repeated on another connection, so its first waiter will not get an answer.
		close(old)
	}
	ch := make(chan capacity.Answer, 1)
	e.waiters[k] = ch
	e.apply(now, e.table.Handle(now, capacity.AcquireEvent{Acquire: a}))
	e.owner.wakeUp()
	return ch
}

// cancel withdraws a request. If it was granted meanwhile, the grant counts as unused.
func (e *ownership) cancel(now time.Time, c capacity.Cancel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiters, waiterKey{c.Host, c.Request})
	if e.closed {
		return
	}
	e.apply(now, e.table.Handle(now, capacity.CancelEvent{Cancel: c}))
	e.owner.wakeUp()
}

// apply carries out the effects of the table. The caller holds mu.
func (e *ownership) apply(now time.Time, effects []capacity.Effect) {
	for _, ef := range effects {
		switch ef := ef.(type) {
		case capacity.Granted:
			e.deliverGrant(now, ef)
		case capacity.Refused:
			e.answer(ef.Host, ef.Request, capacity.Answer{Refusal: ef.Refusal, Queue: e.table.State(now)})
		case capacity.Cancelled:
		case capacity.Preempt:
			e.owner.preempt(ef)
		case capacity.LoadAdapter:
			e.sendAdapterOrder(ef.Order)
		case capacity.UnloadAdapter:
			e.sendAdapterOrder(ef.Order)
		case capacity.AdmitLoad:
			e.admitted[ef.Order] = true
		case capacity.ReadInventory:
			e.readInventory()
		default:
			panic("owner: effect without a handler")
		}
	}
}

// deliverGrant answers a request with its grant. If the session lease has ended since the request came, it refuses the request
// instead, since another host may own the backend server before the grant is used.
func (e *ownership) deliverGrant(now time.Time, g capacity.Granted) {
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

// answer sends an answer to the request that waits for it, and reports whether one does.
func (e *ownership) answer(host fleet.HostID, id fleet.RequestID, a capacity.Answer) bool {
	k := waiterKey{host, id}
	ch := e.waiters[k]
	if ch == nil {
		return false
	}
	delete(e.waiters, k)
	ch <- a
	return true
}

func (e *ownership) sendAdapterOrder(o fleet.Order) {
	e.owner.jobs.Run(func(ctx context.Context) {
		outcome := fleet.OrderRefused
		if e.owner.cfg.Follower.HasLease(time.Now()) {
			outcome, _ = e.owner.cfg.Engines.Order(ctx, e.address, o)
		}
		e.owner.metrics.countAdapterOrder(o.Kind, outcome)
		e.handle(time.Now(), capacity.AdapterEvent{Order: o.ID, Outcome: outcome})
	})
}

// readInventory reads an inventory for the table. If there is no answer, the table requests another read later.
func (e *ownership) readInventory() {
	e.owner.jobs.Run(func(ctx context.Context) {
		asked := time.Now()
		inv, err := e.owner.cfg.Engines.Inventory(ctx, e.address, e.fence)
		if err != nil {
			e.inventoryUnanswered(time.Now())
			return
		}
		if inv.Backend != e.id || inv.Incarnation != e.incarnation {
			return
		}
		e.inventoryAnswered()
		e.handle(time.Now(), capacity.InventoryEvent{Asked: asked, Inventory: inv})
		if e.owner.cfg.OnInventory != nil {
			e.owner.cfg.OnInventory(inv)
		}
	})
}

func (e *ownership) inventoryAnswered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unansweredReads = 0
}

// inventoryUnanswered counts an unanswered inventory read and reports the backend server to the table as unresponsive after
// maxUnanswered of them.
func (e *ownership) inventoryUnanswered(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unansweredReads++
	e.owner.metrics.unanswered.With().Inc(1)
	if !e.closed && e.unansweredReads >= maxUnanswered {
		e.apply(now, e.table.Handle(now, capacity.UnresponsiveEvent{}))
		e.owner.wakeUp()
	}
}

// applyOrderEffect carries out one effect of the order state. The caller holds mu.
func (e *ownership) applyOrderEffect(ef orders.Effect) {
	switch ef := ef.(type) {
	case orders.Propose:
		if !e.mayPropose(ef.Command) {
			return
		}
		e.owner.jobs.Run(func(ctx context.Context) {
			// A lost or rejected proposal is repeated by a later step if the control state still requires it.
			_, _ = e.owner.cfg.Follower.Propose(ctx, ef.Command)
		})
	case orders.Send:
		e.owner.jobs.Run(func(ctx context.Context) { e.sendOrder(ctx, ef) })
	case orders.ReadInventory:
		e.owner.jobs.Run(func(ctx context.Context) { e.readForOrders(ctx, ef) })
	case orders.StopGrants:
		// Nothing to do: the table sees in the control state that the replica is no longer ready, and stops granting on it.
	case orders.LoadFinished:
		r := placement.LoadResult{
			Order: ef.Order, Model: ef.Model, Backend: ef.Backend, Incarnation: ef.Incarnation,
			Tier: ef.Tier, Took: ef.Took, Failed: ef.Failed,
		}
		e.owner.metrics.countLoad(r)
		if e.owner.cfg.OnLoadResult != nil {
			e.owner.cfg.OnLoadResult(r)
		}
	default:
		panic("owner: effect without a handler")
	}
}

// mayPropose reports whether a command may be proposed now. A load may be sent only once the table has admitted it, so that
// its memory is free of grants.
func (e *ownership) mayPropose(c control.Command) bool {
	r, ok := c.(*control.ReportOrder)
	if !ok || r.State != control.ReplicaSent {
		return true
	}
	return e.admitted[r.Order]
}

func (e *ownership) sendOrder(ctx context.Context, s orders.Send) {
	outcome := fleet.OrderRefused
	if now := time.Now(); now.Before(s.NotAfter) && e.owner.cfg.Follower.HasLease(now) {
		outcome, _ = e.owner.cfg.Engines.Order(ctx, e.address, s.Order)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.RecordOutcome(time.Now(), s.Order.ID, outcome)
	e.owner.wakeUp()
}

func (e *ownership) readForOrders(ctx context.Context, r orders.ReadInventory) {
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
	if e.owner.cfg.OnInventory != nil {
		e.owner.cfg.OnInventory(inv)
	}
	e.owner.wakeUp()
}
