package orders

import (
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// lostRead is the number of retry intervals after which an inventory without answer is asked for again.
const lostRead = 5

// read asks for an inventory when one is due: on takeover, when a doubt can be settled, and from time to time.
func (o *Owner) read(now time.Time, v View, records []control.Replica, out []Effect) []Effect {
	if now.Before(o.readyAt) {
		return out
	}
	if o.inv != nil {
		if now.Sub(o.inv.started) < lostRead*o.cfg.RetryInterval {
			return out
		}
		o.inv = nil
		o.nextRead = now
	}
	due := !now.Before(o.nextRead)
	for i := range records {
		r := &records[i]
		t := o.tracks[r.Order]
		due = due || o.inDoubt(r) && o.ended(now, t) && o.lastRead.Before(t.deadline)
	}
	if !due {
		return out
	}
	o.lastRead = now
	o.reads++
	o.inv = &reading{id: o.reads, started: now, applied: v.State.Applied()}
	o.nextRead = now.Add(o.cfg.InventoryInterval)
	return append(out, ReadInventory{Read: o.reads, Backend: o.backend, Incarnation: o.incarnation, Fence: o.fence})
}

func (o *Owner) inDoubt(r *control.Replica) bool {
	return r.State == control.ReplicaInDoubt || r.State == control.ReplicaUnloadInDoubt
}

// ended reports whether an order in doubt is past its deadline and refused from now on by an engine that checks fences.
func (o *Owner) ended(now time.Time, t *track) bool {
	return !now.Before(t.deadline) && !(t.ownDoubt && o.checksFence)
}

// reconcile compares an inventory with the records and proposes a settlement when they differ. An inventory that crosses
// a change of the records is read again.
func (o *Owner) reconcile(now time.Time, v View, records []control.Replica, out []Effect) []Effect {
	in := o.inv
	if in == nil || in.answer == nil {
		return out
	}
	o.inv = nil
	for i := range records {
		if records[i].Changed > in.applied {
			o.nextRead = now
			return out
		}
	}
	if hidden := o.dropHiding(now, records, in); len(hidden) > 0 {
		o.consistent = false
		o.nextRead = now
		o.paused = now.Add(o.cfg.RetryInterval)
		return append(out, hidden...)
	}
	differs, before := o.compare(records, in)
	if !differs {
		o.consistent = true
		return out
	}
	o.consistent = false
	o.nextRead = now
	o.paused = now.Add(o.cfg.RetryInterval)
	return append(out, Propose{&control.SettleInventory{
		Backend: o.backend, Incarnation: o.incarnation, Fence: o.fence, Before: before, Models: slices.Clone(in.answer.Models),
	}})
}

// dropHiding drops decided loads of models that the backend server holds already without a record. Such a decision would
// keep the settlement from recording the model, so that its memory was not counted once the decision is dropped.
func (o *Owner) dropHiding(now time.Time, records []control.Replica, in *reading) []Effect {
	var out []Effect
	for i := range records {
		r := &records[i]
		held := func(m fleet.LoadedModel) bool { return m.Model == r.Model }
		if r.State == control.ReplicaIntended && !o.tracks[r.Order].sentBefore && slices.ContainsFunc(in.answer.Models, held) {
			out = o.drop(now, o.tracks[r.Order], r, out)
		}
	}
	return out
}

// compare reports whether an inventory changes any record, and the last log index that it may settle: doubts that may
// not be settled yet, and all later changes, are left alone.
func (o *Owner) compare(records []control.Replica, in *reading) (bool, fleet.Index) {
	before := in.applied
	held := map[fleet.ModelID]fleet.ReplicaState{}
	for _, m := range in.answer.Models {
		held[m.Model] = m.State
	}
	known := map[fleet.ModelID]bool{}
	for i := range records {
		r := &records[i]
		known[r.Model] = true
		_, found := held[r.Model]
		if o.inDoubt(r) && !o.mayGiveUp(in.started, r, found) && r.Changed <= before {
			before = r.Changed - 1
		}
	}
	differs := false
	for m, state := range held {
		differs = differs || !known[m] && state != fleet.ReplicaUnloading
	}
	for i := range records {
		r := &records[i]
		state, found := held[r.Model]
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

// mayGiveUp reports whether an inventory read at a time settles a doubt. A load that is missing at an engine that does not
// refuse older fences may still arrive until the longest delay of an order has passed.
func (o *Owner) mayGiveUp(read time.Time, r *control.Replica, found bool) bool {
	t := o.tracks[r.Order]
	if !o.ended(read, t) {
		return false
	}
	if found || o.fenced || t.ready || r.State == control.ReplicaUnloadInDoubt {
		return true
	}
	return !read.Before(t.deadline.Add(o.cfg.MaxOrderDelay))
}
