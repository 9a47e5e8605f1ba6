package residency

import (
	"time"

	"toucanway/core/fleet"
)

// MarkAllInDoubt marks all engines as in doubt, so that each is probed before its next order. A new leader calls it first.
func (p *Planner) MarkAllInDoubt() {
	for _, e := range p.engines {
		e.stateKnown, e.pending, e.callInFlight, e.goal = false, nil, false, ""
	}
	p.storeLoads = nil
}

// Pause keeps orders and probes from an engine until a time, since it wants none from this host. Its replicas still count: the answer
// that said so shows that it runs.
func (p *Planner) Pause(id fleet.BackendID, until time.Time) {
	if e := p.engines[id]; e != nil {
		e.pausedUntil, e.lastCallFailed = until, false
	}
}

// HandleReport processes an engine's report.
func (p *Planner) HandleReport(now time.Time, pr Probe, r Report) {
	e := p.engines[pr.Engine]
	if e == nil || e.Incarnation != pr.Incarnation {
		return
	}
	e.callInFlight, e.lastCallFailed = false, false
	if e.stateKnown && r.Accepted < e.accepted {
		// The engine has accepted another order since it made the report.
		e.notBefore = now.Add(pollInterval)
		return
	}
	e.setWeightCopies(r.InMemory, r.OnDisk)
	if r.Busy && e.pending == nil {
		e.unknownBusyReports++
	} else {
		e.unknownBusyReports = 0
	}
	if r.Busy {
		e.notBefore = now.Add(pollInterval)
		p.completePending(now, e, r.Models)
		if e.stateKnown || e.pending != nil {
			return
		}
	}
	if e.pending != nil {
		p.completePending(now, e, r.Models)
		if e.pending != nil && now.Sub(e.pendingAt) < maxReportAge {
			e.notBefore = now.Add(pollInterval)
			return
		}
		// The engine isn't busy any more and doesn't show the order's effect: it has dropped the order.
		e.pending = nil
	}
	e.accepted, e.stateKnown = r.Accepted, !r.Busy
	p.replaceModels(now, e, r.Models)
	for _, t := range r.Pending {
		if h := e.models[t.Model]; h != nil {
			h.adapters[t.Adapter] = &adapter{readyAt: now.Add(AdapterLoadTime), lastUsed: now}
		}
	}
}

// HandleProbeFailure processes the failure of a probe.
func (p *Planner) HandleProbeFailure(now time.Time, pr Probe) {
	if e := p.engines[pr.Engine]; e != nil && e.Incarnation == pr.Incarnation {
		e.callInFlight, e.lastCallFailed = false, true
		e.notBefore = now.Add(retryDelay)
	}
}

// HandleOutcome processes the outcome of an order.
func (p *Planner) HandleOutcome(now time.Time, o Order, out Outcome) {
	e := p.engines[o.Engine]
	if e == nil || e.Incarnation != o.Incarnation {
		return
	}
	e.callInFlight = false
	e.lastCallFailed = out == Unreachable || out == Unanswered
	switch out {
	case Accepted:
		e.accepted++
		p.recordAccepted(now, e, o)
	case InEffect:
		// An engine carries out the unload of an adapter immediately and counts it. It doesn't count an order that changes nothing.
		if o.Kind == fleet.OrderUnloadAdapter {
			e.accepted++
		}
		p.recordAccepted(now, e, o)
		if o.Kind == fleet.OrderLoad || o.Kind == fleet.OrderUnload {
			e.stateKnown, e.pending, e.notBefore = false, nil, now
		}
	case Conflicting, Unanswered:
		p.revert(e, o)
		e.stateKnown, e.notBefore = false, now.Add(inDoubtDelay)
	case Rejected, Unreachable:
		p.revert(e, o)
		e.stateKnown, e.notBefore, e.goal = false, now.Add(retryDelay), ""
	}
}

// recordAccepted records the effect of an accepted order.
func (p *Planner) recordAccepted(now time.Time, e *engine, o Order) {
	h := e.models[o.Target.Model]
	switch o.Kind {
	case fleet.OrderLoad:
		e.pending, e.pendingAt, e.notBefore = &o, now, now.Add(pollInterval)
		if m := p.table.Model(e.Service, o.Target.Model); m != nil {
			d, _ := e.loadTime(m)
			e.notBefore = now.Add(d)
		}
	case fleet.OrderUnload:
		e.pending, e.pendingAt, e.notBefore = &o, now, now.Add(unloadPollDelay)
	case fleet.OrderLoadAdapter:
		if h != nil {
			if a := h.adapters[o.Target.Adapter]; a != nil {
				a.readyAt = now.Add(AdapterLoadTime)
			}
		}
	case fleet.OrderUnloadAdapter:
		if h != nil {
			delete(h.adapters, o.Target.Adapter)
		}
	case fleet.OrderRole:
	}
}

// revert reverts the state that was recorded for an order when it was issued.
func (p *Planner) revert(e *engine, o Order) {
	h := e.models[o.Target.Model]
	if h == nil {
		return
	}
	switch o.Kind {
	case fleet.OrderLoad:
		delete(e.models, o.Target.Model)
	case fleet.OrderUnload:
		h.phase = loaded
	case fleet.OrderLoadAdapter:
		delete(h.adapters, o.Target.Adapter)
	case fleet.OrderUnloadAdapter, fleet.OrderRole:
	}
}
