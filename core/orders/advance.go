package orders

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// advance takes the next step of one record.
func (o *Owner) advance(now time.Time, v View, b *control.Backend, records []control.Replica, i int, out []Effect) []Effect {
	r := &records[i]
	t := o.tracks[r.Order]
	switch r.State {
	case control.ReplicaIntended:
		if !o.consistent {
			return out
		}
		// A proposal to send may be committed already, after which the load may not be dropped.
		if !t.sentBefore {
			if _, ok := o.quarantine[r.Model]; ok && !o.fenced {
				if t.proposed.IsZero() {
					out = append(out, o.measured(r, 0, true))
				}
				return o.drop(now, t, r, out)
			}
			if t.dropped || len(v.State.Replicas(r.Model)) > v.State.Target(r.Model) {
				// The target was lowered meanwhile.
				return o.drop(now, t, r, out)
			}
		}
		if t.sentBefore || o.fits(b, records, i) {
			t.sentBefore = true
			return o.report(now, t, r, control.ReplicaSent, out)
		}
	case control.ReplicaSent:
		return o.carryOut(now, v, t, r, fleet.OrderLoad, out)
	case control.ReplicaUnloadIntended:
		if !t.stopped {
			t.stopped = true
			out = append(out, StopGrants{Backend: o.backend, Model: r.Model})
		}
		if o.consistent && (v.Running == nil || v.Running(r.Model) == 0) {
			t.sentBefore = true
			return o.report(now, t, r, control.ReplicaUnloadSent, out)
		}
	case control.ReplicaUnloadSent:
		return o.carryOut(now, v, t, r, fleet.OrderUnload, out)
	case control.ReplicaInDoubt, control.ReplicaUnloadInDoubt:
		if t.ownDoubt && o.checksFence && o.retry(now, t) {
			// Under a newer fence the engine refuses the order if it still arrives.
			o.paused = now.Add(o.cfg.RetryInterval)
			return append(out, Propose{&control.AssignOwner{Backend: o.backend, Owner: o.cfg.Host, Expected: o.fence}})
		}
	case control.ReplicaReady, control.ReplicaLost:
	default:
		panic("orders: replica record in state " + r.State.String())
	}
	return out
}

// fits reports whether the memory holds the replica beside all records but loads that were not sent, since replicas
// found by an inventory may have come on record after the decision.
func (o *Owner) fits(b *control.Backend, records []control.Replica, i int) bool {
	sum := records[i].Memory
	for j := range records {
		if j != i && (records[j].State != control.ReplicaIntended || o.tracks[records[j].Order].sentBefore) {
			sum += records[j].Memory
		}
	}
	return sum <= b.Announcement.Memory
}

// carryOut sends the order of a record that is committed as sent, and reports its outcome.
func (o *Owner) carryOut(now time.Time, v View, t *track, r *control.Replica, kind fleet.OrderKind, out []Effect) []Effect {
	doubt := control.ReplicaInDoubt
	if kind == fleet.OrderUnload {
		doubt = control.ReplicaUnloadInDoubt
	}
	switch {
	case t.sent.IsZero() && !t.sentBefore:
		// The record was committed by an earlier instance of this owner, which may have sent the order.
		t.ownDoubt = true
		return o.report(now, t, r, doubt, out)
	case t.sent.IsZero():
		return append(out, o.send(now, v, t, r, kind))
	case !t.answered && now.Before(t.deadline):
		return out
	case !t.answered, t.outcome == fleet.OrderInDoubt:
		t.ownDoubt = true
		return o.report(now, t, r, doubt, out)
	case kind == fleet.OrderUnload && t.outcome == fleet.OrderDone:
		return o.report(now, t, r, control.ReplicaGone, out)
	case kind == fleet.OrderUnload:
		// An unload is never taken back, since callers may have been told of it; the inventory shows what is left.
		return o.report(now, t, r, doubt, out)
	}
	if t.proposed.IsZero() {
		out = append(out, o.measured(r, now.Sub(t.sent), t.outcome != fleet.OrderDone))
	}
	if t.outcome == fleet.OrderDone {
		return o.report(now, t, r, control.ReplicaReady, out)
	}
	return o.report(now, t, r, control.ReplicaFailed, out)
}

func (o *Owner) measured(r *control.Replica, took time.Duration, failed bool) Effect {
	return Measured{
		Order: r.Order, Model: r.Model, Backend: o.backend, Incarnation: o.incarnation, Tier: o.tierOf(r.Model),
		Took: took, Failed: failed,
	}
}

// send returns the order of a record. A load has the id of its decision; an unload that of the commit before it, so that
// an engine that remembers order ids carries out a later one of the same replica.
func (o *Owner) send(now time.Time, v View, t *track, r *control.Replica, kind fleet.OrderKind) Effect {
	deadline := o.cfg.LoadDeadline
	t.id = r.Order
	if kind == fleet.OrderUnload {
		deadline = o.cfg.UnloadDeadline
		t.id = fleet.OrderID(r.Changed)
	}
	t.sent, t.deadline = now, now.Add(withSkew(deadline))
	until := now.Add(o.cfg.DispatchWindow)
	if v.Lease.Before(until) {
		until = v.Lease
	}
	return Send{
		Order: fleet.Order{
			ID: t.id, Kind: kind, Target: fleet.Target{Model: r.Model}, Version: r.Version, Role: r.Role, Memory: r.Memory,
			Fence: o.fence, Deadline: deadline,
		},
		Backend: o.backend, Incarnation: o.incarnation, NotAfter: until,
	}
}

// report proposes the next state of a record, again after the retry interval.
func (o *Owner) report(now time.Time, t *track, r *control.Replica, s control.ReplicaState, out []Effect) []Effect {
	if !o.retry(now, t) {
		return out
	}
	return append(out, Propose{&control.ReportOrder{Order: r.Order, Fence: o.fence, State: s}})
}

// drop proposes to give up a load that was not sent; it is never sent afterwards, since the proposal may be committed late.
func (o *Owner) drop(now time.Time, t *track, r *control.Replica, out []Effect) []Effect {
	t.dropped = true
	return o.report(now, t, r, control.ReplicaFailed, out)
}

func (o *Owner) retry(now time.Time, t *track) bool {
	if !t.proposed.IsZero() && now.Sub(t.proposed) < o.cfg.RetryInterval {
		return false
	}
	t.proposed = now
	return true
}

func (o *Owner) tierOf(m fleet.ModelID) fleet.Tier {
	best := fleet.TierRemote
	for _, c := range o.cached {
		if c.Model == m {
			best = min(best, c.Tier)
		}
	}
	return best
}
