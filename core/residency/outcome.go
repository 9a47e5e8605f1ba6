package residency

import (
	"time"

	"toucanway/core/fleet"
)

// Doubt makes all engines be asked for a report before the next order; a new leader calls it first.
func (p *Planner) Doubt() {
	for _, e := range p.engines {
		e.known, e.pending, e.calling, e.goal = false, nil, false, ""
	}
	p.stored = nil
}

// Reported takes in a report.
func (p *Planner) Reported(now time.Time, pr Probe, r Report) {
	e := p.engines[pr.Engine]
	if e == nil || e.Incarnation != pr.Incarnation {
		return
	}
	e.calling, e.unreached = false, false
	if e.known && r.Accepted < e.accepted {
		// The report is older than an order that was accepted since.
		e.after = now.Add(pollInterval)
		return
	}
	e.copies(r.InMemory, r.OnDisk)
	if r.Busy {
		e.after = now.Add(pollInterval)
		p.settle(now, e, r.Models)
		if e.known || e.pending != nil {
			return
		}
	}
	if e.pending != nil {
		p.settle(now, e, r.Models)
		if e.pending != nil && now.Sub(e.pendingAt) < reportLag {
			e.after = now.Add(pollInterval)
			return
		}
		// The engine isn't busy any more and doesn't show the order's effect: it was dropped.
		e.pending = nil
	}
	e.accepted, e.known = r.Accepted, !r.Busy
	e.take(now, p.specs(e.Service), r.Models)
	for _, t := range r.Pending {
		if h := e.models[t.Model]; h != nil {
			h.adapters[t.Adapter] = &adapter{ready: now.Add(AdapterLoad), used: now}
		}
	}
}

// Unreported takes in that a probe got no usable answer.
func (p *Planner) Unreported(now time.Time, pr Probe) {
	if e := p.engines[pr.Engine]; e != nil && e.Incarnation == pr.Incarnation {
		e.calling, e.unreached = false, true
		e.after = now.Add(retryPause)
	}
}

// Ordered takes in the outcome of an order.
func (p *Planner) Ordered(now time.Time, o Order, out Outcome) {
	e := p.engines[o.Engine]
	if e == nil || e.Incarnation != o.Incarnation {
		return
	}
	e.calling = false
	e.unreached = out == Unreachable || out == Unanswered
	switch out {
	case Accepted:
		e.accepted++
		p.begun(now, e, o)
	case Holding:
		// An engine counts an order that it has carried out at once, and not one that changes nothing.
		if o.Kind == fleet.OrderUnloadAdapter {
			e.accepted++
		}
		p.begun(now, e, o)
		if o.Kind == fleet.OrderLoad || o.Kind == fleet.OrderUnload {
			e.known, e.pending, e.after = false, nil, now
		}
	case Conflicting, Unanswered:
		p.undo(e, o)
		e.known, e.after = false, now.Add(doubtPause)
	case Rejected, Unreachable:
		p.undo(e, o)
		e.known, e.after, e.goal = false, now.Add(retryPause), ""
	}
}

// begun notes the effect of an accepted order.
func (p *Planner) begun(now time.Time, e *engine, o Order) {
	h := e.models[o.Target.Model]
	switch o.Kind {
	case fleet.OrderLoad:
		e.pending, e.pendingAt, e.after = &o, now, now.Add(pollInterval)
		if m := p.table.Model(e.Service, o.Target.Model); m != nil {
			d, _ := e.loadTime(m)
			e.after = now.Add(d)
		}
	case fleet.OrderUnload:
		e.pending, e.pendingAt, e.after = &o, now, now.Add(unloadPoll)
	case fleet.OrderLoadAdapter:
		if h != nil {
			if a := h.adapters[o.Target.Adapter]; a != nil {
				a.ready = now.Add(AdapterLoad)
			}
		}
	case fleet.OrderUnloadAdapter:
		if h != nil {
			delete(h.adapters, o.Target.Adapter)
		}
	case fleet.OrderRole:
	}
}

// undo takes back what Next has noted of an order that had no known effect.
func (p *Planner) undo(e *engine, o Order) {
	h := e.models[o.Target.Model]
	if h == nil {
		return
	}
	switch o.Kind {
	case fleet.OrderLoad:
		delete(e.models, o.Target.Model)
	case fleet.OrderUnload:
		h.phase = held
	case fleet.OrderLoadAdapter:
		delete(h.adapters, o.Target.Adapter)
	case fleet.OrderUnloadAdapter, fleet.OrderRole:
	}
}
