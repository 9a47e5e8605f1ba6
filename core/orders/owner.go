package orders

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// View is the input of Owner.Step.
type View struct {
	State *control.State
	// LeaseEnd is when the host's session lease ends, on the host's own clock.
	LeaseEnd time.Time
	// Running returns the number of requests that run on a replica, or more than 0 while the number is unknown. Nil means
	// that none run.
	Running func(fleet.ModelID) int
}

// Owner carries out the control records of one backend server for one host. It is not safe for concurrent use. Step has to
// be called after each change of the control state and each event, and at least once a second.
type Owner struct {
	cfg     Settings
	backend fleet.BackendID
	// fence and incarnation identify the ownership that the fields below belong to; fence 0 means none.
	fence       fleet.Fence
	incarnation fleet.Incarnation
	checksFence bool
	// fenced means that the engine showed this fence in its last inventory, so that it refuses all older orders.
	fenced bool
	// ownedSince is when the ownership began, earliestRead when inventories may be read first.
	ownedSince   time.Time
	earliestRead time.Time
	// consistent means that the last inventory agreed with the records, which is required before the first order.
	consistent bool
	// pendingRead is the inventory read in flight or answered but not yet reconciled; nil means none.
	pendingRead *inventoryRead
	lastReadID  uint64
	nextRead    time.Time
	lastRead    time.Time
	cached      []fleet.CachedCheckpoint
	states      map[fleet.OrderID]*recordState
	// quarantine holds models whose unload was in doubt, since a delayed copy of the order would unload a new replica.
	quarantine map[fleet.ModelID]time.Time
	// pausedUntil is until when the owner does nothing else, to wait for the commit of a proposed settlement or change of
	// fence.
	pausedUntil time.Time
}

// inventoryRead is one request of an inventory; answer is nil until it is answered.
type inventoryRead struct {
	id      uint64
	started time.Time
	applied fleet.Index
	answer  *fleet.Inventory
}

// recordState is the owner's state of one replica record.
type recordState struct {
	state control.ReplicaState
	// changed is the log index at which the record got its state.
	changed fleet.Index
	// proposed is when a change of the record was last proposed. sendProposed means that this owner proposed to send the
	// order.
	proposed     time.Time
	sendProposed bool
	// dropProposed means that this owner proposed to give up the load.
	dropProposed bool
	// sent is when the order was sent, and orderID its id; deadline is when it ends if it is not answered.
	sent     time.Time
	orderID  fleet.OrderID
	deadline time.Time
	answered bool
	outcome  fleet.OrderOutcome
	// doubtUnderFence means that the order in doubt may have been sent under the current fence, so that the engine would still
	// accept it.
	doubtUnderFence bool
	// wasReady means that the replica was seen ready, so that no load of it can be in flight.
	wasReady bool
	// grantsStopped means that StopGrants was emitted.
	grantsStopped bool
	// hasRecord means that the record still exists.
	hasRecord bool
}

// New returns an owner of one backend server; cfg names the host.
func New(cfg Settings, backend fleet.BackendID) *Owner {
	cfg.setDefaults()
	return &Owner{cfg: cfg, backend: backend, states: map[fleet.OrderID]*recordState{}, quarantine: map[fleet.ModelID]time.Time{}}
}

// RecordOutcome records the outcome of an order that was sent.
func (o *Owner) RecordOutcome(_ time.Time, id fleet.OrderID, outcome fleet.OrderOutcome) {
	for _, t := range o.states {
		if t.orderID == id && !t.sent.IsZero() && !t.answered {
			t.answered, t.outcome = true, outcome
		}
	}
}

// RecordInventory records the answer to a ReadInventory; a nil inventory means that the read failed.
func (o *Owner) RecordInventory(now time.Time, read uint64, inv *fleet.Inventory) {
	if o.pendingRead == nil || o.pendingRead.id != read || o.pendingRead.answer != nil {
		return
	}
	valid := inv != nil && inv.Backend == o.backend && inv.Incarnation == o.incarnation
	o.fenced = valid && o.checksFence && inv.Fence >= o.fence
	if !valid || !o.fenced && now.Before(o.ownedSince.Add(o.cfg.takeoverWait())) {
		// An engine that has not recorded this fence may still accept orders of an earlier owner.
		o.pendingRead = nil
		o.nextRead = now.Add(o.cfg.RetryInterval)
		return
	}
	o.pendingRead.answer = inv
	o.cached = inv.Cached
}

// Step returns the effects that are due now.
func (o *Owner) Step(now time.Time, v View) []Effect {
	b, ok := v.State.Backend(o.backend)
	if !ok || b.Lost || b.Owner != o.cfg.Host {
		o.fence = 0
		return nil
	}
	if b.Fence != o.fence || b.Announcement.Incarnation != o.incarnation {
		o.takeOver(now, b)
	}
	if !now.Before(v.LeaseEnd) {
		return nil
	}
	records := v.State.ReplicasOn(o.backend)
	o.updateStates(now, records)
	if now.Before(o.pausedUntil) {
		return nil
	}
	var out []Effect
	out = o.reconcile(now, v, records, out)
	if now.Before(o.pausedUntil) {
		return out
	}
	for i := range records {
		out = o.advance(now, v, &b, records, i, out)
	}
	return o.readInventory(now, v, records, out)
}

// takeOver resets the state for a new ownership. It keeps the deadlines of orders that this host sent to the same
// incarnation of the backend server.
func (o *Owner) takeOver(now time.Time, b control.Backend) {
	if b.Announcement.Incarnation != o.incarnation {
		clear(o.states)
		clear(o.quarantine)
	}
	for _, t := range o.states {
		t.doubtUnderFence, t.sendProposed, t.dropProposed, t.grantsStopped, t.answered = false, false, false, false, false
		t.sent, t.proposed = time.Time{}, time.Time{}
		if t.state != control.ReplicaSent && t.state != control.ReplicaInDoubt {
			// A load is sent only once, but another owner may have sent the unload again since.
			t.deadline = time.Time{}
		}
	}
	o.fence, o.incarnation = b.Fence, b.Announcement.Incarnation
	o.checksFence = b.Announcement.ChecksFence
	o.consistent, o.pendingRead, o.pausedUntil, o.nextRead = false, nil, time.Time{}, now
	o.fenced, o.ownedSince, o.earliestRead = false, now, now
	if !o.checksFence {
		o.earliestRead = now.Add(o.cfg.takeoverWait())
	}
}

// updateStates updates the state of each record from the control state and drops those without a record.
func (o *Owner) updateStates(now time.Time, records []control.Replica) {
	for _, t := range o.states {
		t.hasRecord = false
	}
	for i := range records {
		r := &records[i]
		t := o.states[r.Order]
		if t == nil {
			t = &recordState{state: r.State, changed: r.Changed}
			o.states[r.Order] = t
		}
		t.hasRecord = true
		if t.changed != r.Changed {
			t.state, t.changed = r.State, r.Changed
			t.proposed = time.Time{}
		}
		switch r.State {
		case control.ReplicaReady:
			t.wasReady = true
		case control.ReplicaInDoubt:
			if t.deadline.IsZero() {
				t.deadline = now
				if !t.wasReady {
					t.deadline = now.Add(addClockDrift(o.cfg.LoadDeadline))
				}
			}
		case control.ReplicaUnloadInDoubt:
			if t.deadline.IsZero() {
				t.deadline = now.Add(addClockDrift(o.cfg.UnloadDeadline))
			}
			o.quarantine[r.Model] = now.Add(o.cfg.MaxOrderDelay)
		case control.ReplicaIntended, control.ReplicaUnloadIntended:
			t.deadline, t.sent, t.answered, t.orderID = time.Time{}, time.Time{}, false, 0
		}
	}
	for id, t := range o.states {
		if !t.hasRecord {
			delete(o.states, id)
		}
	}
	for m, until := range o.quarantine {
		if now.After(until) {
			delete(o.quarantine, m)
		}
	}
}
