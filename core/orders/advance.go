package orders

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// advance appends the effects of the next step of one record.
func (o *Owner) advance(now time.Time, v View, b *control.Backend, records []control.Replica, i int, out []Effect) []Effect {
	r := &records[i]
	t := o.states[r.Order]
	switch r.State {
	case control.ReplicaIntended:
		if !o.consistent {
			return out
		}
		// Once sending is proposed, the proposal may be committed already, and the load must not be dropped.
		if !t.sendProposed {
			if _, ok := o.quarantine[r.Model]; ok && !o.fenced {
				if t.proposed.IsZero() {
					out = append(out, o.loadFinished(r, 0, true))
				}
				return o.proposeDrop(now, t, r, out)
			}
			if t.dropProposed || len(v.State.Replicas(r.Model)) > v.State.ReplicaTarget(r.Model) {
				// The target was lowered after the load was decided.
				return o.proposeDrop(now, t, r, out)
			}
		}
		if t.sendProposed || o.fitsMemory(b, records, i) {
			t.sendProposed = true
			return o.proposeState(now, t, r, control.ReplicaSent, out)
		}
	case control.ReplicaSent:
		return o.execute(now, v, t, r, fleet.OrderLoad, out)
	case control.ReplicaUnloadIntended:
		if !t.grantsStopped {
			t.grantsStopped = true
			out = append(out, StopGrants{Backend: o.backend, Model: r.Model})
		}
		if o.consistent && (v.Running == nil || v.Running(r.Model) == 0) {
			t.sendProposed = true
			return o.proposeState(now, t, r, control.ReplicaUnloadSent, out)
		}
	case control.ReplicaUnloadSent:
		return o.execute(now, v, t, r, fleet.OrderUnload, out)
	case control.ReplicaInDoubt, control.ReplicaUnloadInDoubt:
		if t.doubtUnderFence && o.checksFence && o.proposalDue(now, t) {
			// Under a newer fence the engine refuses the order in doubt if it still arrives.
			o.pausedUntil = now.Add(o.cfg.RetryInterval)
			return append(out, Propose{&control.AssignOwner{Backend: o.backend, Owner: o.cfg.Host, Expected: o.fence}})
		}
	case control.ReplicaReady, control.ReplicaLost:
	default:
		panic("orders: replica record in state " + r.State.String())
	}
	return out
}

// fitsMemory reports whether the backend server has memory for a replica beside all other records except loads that were not
// sent. Replicas found by an inventory may have been recorded after the load was decided.
func (o *Owner) fitsMemory(b *control.Backend, records []control.Replica, i int) bool {
	sum := records[i].Memory
	for j := range records {
		if j != i && (records[j].State != control.ReplicaIntended || o.states[records[j].Order].sendProposed) {
			sum += records[j].Memory
		}
	}
	return sum <= b.Announcement.Memory
}

// execute sends the order of a record whose committed state is sent, and proposes the state that follows from its
// outcome.
func (o *Owner) execute(now time.Time, v View, t *recordState, r *control.Replica, kind fleet.OrderKind, out []Effect) []Effect {
	inDoubt := control.ReplicaInDoubt
	if kind == fleet.OrderUnload {
		inDoubt = control.ReplicaUnloadInDoubt
	}
	switch {
	case t.sent.IsZero() && !t.sendProposed:
		// The record's state was committed by an earlier instance of this owner, which may have sent the order.
		t.doubtUnderFence = true
		return o.proposeState(now, t, r, inDoubt, out)
	case t.sent.IsZero():
		return append(out, o.sendOrder(now, v, t, r, kind))
	case !t.answered && now.Before(t.deadline):
		return out
	case !t.answered, t.outcome == fleet.OrderInDoubt:
		t.doubtUnderFence = true
		return o.proposeState(now, t, r, inDoubt, out)
	case kind == fleet.OrderUnload && t.outcome == fleet.OrderDone:
		return o.proposeState(now, t, r, control.ReplicaGone, out)
	case kind == fleet.OrderUnload:
		// An unload is never undone, since callers may have been informed of it. The inventory shows what is still loaded.
		return o.proposeState(now, t, r, inDoubt, out)
	}
	if t.proposed.IsZero() {
		out = append(out, o.loadFinished(r, now.Sub(t.sent), t.outcome != fleet.OrderDone))
	}
	if t.outcome == fleet.OrderDone {
		return o.proposeState(now, t, r, control.ReplicaReady, out)
	}
	return o.proposeState(now, t, r, control.ReplicaFailed, out)
}

func (o *Owner) loadFinished(r *control.Replica, took time.Duration, failed bool) Effect {
	return LoadFinished{
		Order: r.Order, Model: r.Model, Backend: o.backend, Incarnation: o.incarnation, Tier: o.tierOf(r.Model),
		Took: took, Failed: failed,
	}
}

// sendOrder returns the effect that sends the order of a record. The id of a load is that of its decision. The id of an unload
// is the log index of the record's last change, so that an engine that remembers order ids carries out a later unload of the
// same replica.
func (o *Owner) sendOrder(now time.Time, v View, t *recordState, r *control.Replica, kind fleet.OrderKind) Effect {
	deadline := o.cfg.LoadDeadline
	t.orderID = r.Order
	if kind == fleet.OrderUnload {
		deadline = o.cfg.UnloadDeadline
		t.orderID = fleet.OrderID(r.Changed)
	}
	t.sent, t.deadline = now, now.Add(addClockDrift(deadline))
	until := now.Add(o.cfg.DispatchWindow)
	if v.LeaseEnd.Before(until) {
		until = v.LeaseEnd
	}
	return Send{
		Order: fleet.Order{
			ID: t.orderID, Kind: kind, Target: fleet.Target{Model: r.Model}, Version: r.Version, Role: r.Role, Memory: r.Memory,
			Fence: o.fence, Deadline: deadline,
		},
		Backend: o.backend, Incarnation: o.incarnation, NotAfter: until,
	}
}

// proposeState proposes the next state of a record, at most once per retry interval.
func (o *Owner) proposeState(now time.Time, t *recordState, r *control.Replica, s control.ReplicaState, out []Effect) []Effect {
	if !o.proposalDue(now, t) {
		return out
	}
	return append(out, Propose{&control.ReportOrder{Order: r.Order, Fence: o.fence, State: s}})
}

// proposeDrop proposes to give up a load that was not sent. The load is never sent afterwards, since the proposal may be
// committed late.
func (o *Owner) proposeDrop(now time.Time, t *recordState, r *control.Replica, out []Effect) []Effect {
	t.dropProposed = true
	return o.proposeState(now, t, r, control.ReplicaFailed, out)
}

func (o *Owner) proposalDue(now time.Time, t *recordState) bool {
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
