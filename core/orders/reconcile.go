package orders

import (
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// readTimeoutIntervals is the number of retry intervals after which an unanswered inventory read is repeated.
const readTimeoutIntervals = 5

// readInventory appends the request of an inventory when one is due: at a takeover, when an order in doubt can be settled,
// and at the inventory interval.
func (o *Owner) readInventory(now time.Time, v View, records []control.Replica, out []Effect) []Effect {
	if now.Before(o.earliestRead) {
		return out
	}
	if o.pendingRead != nil {
		if now.Sub(o.pendingRead.started) < readTimeoutIntervals*o.cfg.RetryInterval {
			return out
		}
		o.pendingRead = nil
		o.nextRead = now
	}
	due := !now.Before(o.nextRead)
	for i := range records {
		r := &records[i]
		t := o.states[r.Order]
		due = due || o.inDoubt(r) && o.orderEnded(now, t) && o.lastRead.Before(t.deadline)
	}
	if !due {
		return out
	}
	o.lastRead = now
	o.lastReadID++
	o.pendingRead = &inventoryRead{id: o.lastReadID, started: now, applied: v.State.Applied()}
	o.nextRead = now.Add(o.cfg.InventoryInterval)
	return append(out, ReadInventory{Read: o.lastReadID, Backend: o.backend, Incarnation: o.incarnation, Fence: o.fence})
}

func (o *Owner) inDoubt(r *control.Replica) bool {
	return r.State == control.ReplicaInDoubt || r.State == control.ReplicaUnloadInDoubt
}

// orderEnded reports whether an order in doubt is past its deadline and, if the engine checks fences, no longer accepted by
// it.
func (o *Owner) orderEnded(now time.Time, t *recordState) bool {
	return !now.Before(t.deadline) && !(t.doubtUnderFence && o.checksFence)
}

// reconcile compares an inventory with the records and proposes a settlement if they differ. If a record has changed since
// the read was started, the inventory is read again.
func (o *Owner) reconcile(now time.Time, v View, records []control.Replica, out []Effect) []Effect {
	read := o.pendingRead
	if read == nil || read.answer == nil {
		return out
	}
	o.pendingRead = nil
	for i := range records {
		if records[i].Changed > read.applied {
			o.nextRead = now
			return out
		}
	}
	if dropped := o.dropConflictingLoads(now, records, read); len(dropped) > 0 {
		o.consistent = false
		o.nextRead = now
		o.pausedUntil = now.Add(o.cfg.RetryInterval)
		return append(out, dropped...)
	}
	differs, before := o.compareInventory(records, read)
	if !differs {
		o.consistent = true
		return out
	}
	o.consistent = false
	o.nextRead = now
	o.pausedUntil = now.Add(o.cfg.RetryInterval)
	return append(out, Propose{&control.SettleInventory{
		Backend: o.backend, Incarnation: o.incarnation, Fence: o.fence, Before: before, Models: slices.Clone(read.answer.Models),
	}})
}

// dropConflictingLoads drops decided loads of models that the backend server has already loaded without a record. The
// decision would keep the settlement from recording the model, whose memory would then not be counted after the decision is
// dropped.
func (o *Owner) dropConflictingLoads(now time.Time, records []control.Replica, read *inventoryRead) []Effect {
	var out []Effect
	for i := range records {
		r := &records[i]
		loaded := func(m fleet.LoadedModel) bool { return m.Model == r.Model }
		if r.State == control.ReplicaIntended && !o.states[r.Order].sendProposed && slices.ContainsFunc(read.answer.Models, loaded) {
			out = o.proposeDrop(now, o.states[r.Order], r, out)
		}
	}
	return out
}

// compareInventory reports whether an inventory differs from the records, and the last log index that it may settle. Orders in
// doubt that may not be settled yet, and all later changes, are excluded.
func (o *Owner) compareInventory(records []control.Replica, read *inventoryRead) (bool, fleet.Index) {
	before := read.applied
	loaded := map[fleet.ModelID]fleet.ReplicaState{}
	for _, m := range read.answer.Models {
		loaded[m.Model] = m.State
	}
	recorded := map[fleet.ModelID]bool{}
	for i := range records {
		r := &records[i]
		recorded[r.Model] = true
		_, found := loaded[r.Model]
		if o.inDoubt(r) && !o.maySettle(read.started, r, found) && r.Changed <= before {
			before = r.Changed - 1
		}
	}
	differs := false
	for m, state := range loaded {
		differs = differs || !recorded[m] && state != fleet.ReplicaUnloading
	}
	for i := range records {
		r := &records[i]
		state, found := loaded[r.Model]
		if r.Changed > before {
			continue
		}
		switch r.State {
		case control.ReplicaReady, control.ReplicaUnloadIntended:
			differs = differs || !found
		case control.ReplicaInDoubt, control.ReplicaUnloadInDoubt:
			differs = differs || !found || state == fleet.ReplicaReady
		case control.ReplicaIntended, control.ReplicaSent, control.ReplicaUnloadSent, control.ReplicaLost:
		default:
			panic("orders: replica record in state " + r.State.String())
		}
	}
	return differs, before
}

// maySettle reports whether an inventory whose read started at a given time settles an order in doubt. If a load is missing
// on an engine that does not refuse older fences, its order may still arrive until the maximum order delay has passed.
func (o *Owner) maySettle(readAt time.Time, r *control.Replica, loaded bool) bool {
	t := o.states[r.Order]
	if !o.orderEnded(readAt, t) {
		return false
	}
	if loaded || o.fenced || t.wasReady || r.State == control.ReplicaUnloadInDoubt {
		return true
	}
	return !readAt.Before(t.deadline.Add(o.cfg.MaxOrderDelay))
}
