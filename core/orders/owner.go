package orders

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// View is what an Owner decides on.
type View struct {
	State *control.State
	// Lease is when the host's session lease ends by its own clock.
	Lease time.Time
	// Running returns the number of requests that run on a replica, or more than 0 while that is not known. Nil means none.
	Running func(fleet.ModelID) int
}

// Owner carries out the control records of one backend server for one host. It is not safe for concurrent use. Call Step
// after every change of the state and every event, and at least once a second.
type Owner struct {
	cfg     Settings
	backend fleet.BackendID
	// fence and incarnation identify the ownership that the fields below belong to; fence 0 means none.
	fence       fleet.Fence
	incarnation fleet.Incarnation
	checksFence bool
	// fenced says that the engine showed this fence in its last inventory, so that it refuses all older orders.
	fenced  bool
	taken   time.Time
	readyAt time.Time
	// consistent says that the last inventory agreed with the records, which is required before the first order.
	consistent bool
	inv        *reading
	reads      uint64
	nextRead   time.Time
	lastRead   time.Time
	cached     []fleet.CachedCheckpoint
	tracks     map[fleet.OrderID]*track
	// quarantine holds models whose unload was in doubt: a late copy of it would unload a new replica.
	quarantine map[fleet.ModelID]time.Time
	// paused is until when a proposed settlement or change of fence is awaited and nothing else is done.
	paused time.Time
}

// reading is one inventory read.
type reading struct {
	id      uint64
	started time.Time
	applied fleet.Index
	answer  *fleet.Inventory
}

// track is the memory of one replica record.
type track struct {
	state control.ReplicaState
	// changed is the index of the change that brought the record into its state.
	changed fleet.Index
	// proposed is when a change of the record was last proposed, sentBefore that this owner proposed to send the order.
	proposed   time.Time
	sentBefore bool
	// dropped says that this owner proposed to give up the load.
	dropped bool
	// sent is when the order left and id its order id; deadline is when it ends without an answer.
	sent     time.Time
	id       fleet.OrderID
	deadline time.Time
	answered bool
	outcome  fleet.OrderOutcome
	// ownDoubt says that the order was sent under the present fence, so that the engine would still accept it.
	ownDoubt bool
	// ready says that the replica was seen ready, so that no load of it can be under way.
	ready   bool
	stopped bool
	live    bool
}

// New returns the owner's side of one backend server for a host.
func New(cfg Settings, backend fleet.BackendID) *Owner {
	cfg.setDefaults()
	return &Owner{cfg: cfg, backend: backend, tracks: map[fleet.OrderID]*track{}, quarantine: map[fleet.ModelID]time.Time{}}
}

// Answered takes the outcome of an order that was sent.
func (o *Owner) Answered(_ time.Time, id fleet.OrderID, outcome fleet.OrderOutcome) {
	for _, t := range o.tracks {
		if t.id == id && !t.sent.IsZero() && !t.answered {
			t.answered, t.outcome = true, outcome
		}
	}
}

// Inventory takes the answer to a ReadInventory; nil means that it failed.
func (o *Owner) Inventory(now time.Time, read uint64, inv *fleet.Inventory) {
	if o.inv == nil || o.inv.id != read || o.inv.answer != nil {
		return
	}
	seen := inv != nil && inv.Backend == o.backend && inv.Incarnation == o.incarnation
	o.fenced = seen && o.checksFence && inv.Fence >= o.fence
	if !seen || !o.fenced && now.Before(o.taken.Add(o.cfg.takeoverWait())) {
		// An engine that did not take note of this fence may still accept orders of an earlier owner.
		o.inv = nil
		o.nextRead = now.Add(o.cfg.RetryInterval)
		return
	}
	o.inv.answer = inv
	o.cached = inv.Cached
}

// Step returns what to do now.
func (o *Owner) Step(now time.Time, v View) []Effect {
	b, ok := v.State.Backend(o.backend)
	if !ok || b.Lost || b.Owner != o.cfg.Host {
		o.fence = 0
		return nil
	}
	if b.Fence != o.fence || b.Announcement.Incarnation != o.incarnation {
		o.takeOver(now, b)
	}
	if !now.Before(v.Lease) {
		return nil
	}
	records := v.State.ReplicasOn(o.backend)
	o.observe(now, records)
	if now.Before(o.paused) {
		return nil
	}
	var out []Effect
	out = o.reconcile(now, v, records, out)
	if now.Before(o.paused) {
		return out
	}
	for i := range records {
		out = o.advance(now, v, &b, records, i, out)
	}
	return o.read(now, v, records, out)
}

// takeOver begins an ownership. Deadlines of orders that this host sent to the same life of the backend server stay known.
func (o *Owner) takeOver(now time.Time, b control.Backend) {
	if b.Announcement.Incarnation != o.incarnation {
		clear(o.tracks)
		clear(o.quarantine)
	}
	for _, t := range o.tracks {
		t.ownDoubt, t.sentBefore, t.dropped, t.stopped, t.answered = false, false, false, false, false
		t.sent, t.proposed = time.Time{}, time.Time{}
		if t.state != control.ReplicaSent && t.state != control.ReplicaInDoubt {
			// A load is sent once; an unload may have been sent again by another owner since.
			t.deadline = time.Time{}
		}
	}
	o.fence, o.incarnation = b.Fence, b.Announcement.Incarnation
	o.checksFence = b.Announcement.ChecksFence
	o.consistent, o.inv, o.paused, o.nextRead = false, nil, time.Time{}, now
	o.fenced, o.taken, o.readyAt = false, now, now
	if !o.checksFence {
		o.readyAt = now.Add(o.cfg.takeoverWait())
	}
}

// observe takes note of the state of all records.
func (o *Owner) observe(now time.Time, records []control.Replica) {
	for _, t := range o.tracks {
		t.live = false
	}
	for i := range records {
		r := &records[i]
		t := o.tracks[r.Order]
		if t == nil {
			t = &track{state: r.State, changed: r.Changed}
			o.tracks[r.Order] = t
		}
		t.live = true
		if t.changed != r.Changed {
			t.state, t.changed = r.State, r.Changed
			t.proposed = time.Time{}
		}
		switch r.State {
		case control.ReplicaReady:
			t.ready = true
		case control.ReplicaInDoubt:
			if t.deadline.IsZero() {
				t.deadline = now
				if !t.ready {
					t.deadline = now.Add(withSkew(o.cfg.LoadDeadline))
				}
			}
		case control.ReplicaUnloadInDoubt:
			if t.deadline.IsZero() {
				t.deadline = now.Add(withSkew(o.cfg.UnloadDeadline))
			}
			o.quarantine[r.Model] = now.Add(o.cfg.MaxOrderDelay)
		case control.ReplicaIntended, control.ReplicaUnloadIntended:
			t.deadline, t.sent, t.answered, t.id = time.Time{}, time.Time{}, false, 0
		}
	}
	for id, t := range o.tracks {
		if !t.live {
			delete(o.tracks, id)
		}
	}
	for m, until := range o.quarantine {
		if now.After(until) {
			delete(o.quarantine, m)
		}
	}
}
