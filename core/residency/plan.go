package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Probes returns the probes that are due. A host that may not send orders yet sends only these.
func (p *Planner) Probes(now time.Time) []Action {
	var out []Action
	for _, id := range p.Engines() {
		if e := p.engines[id]; e.probeDue(now) {
			e.callInFlight = true
			out = append(out, Probe{e.ID, e.Incarnation, e.Address})
		}
	}
	return out
}

// Next returns the actions that are due. At most one action for each engine is in flight at a time.
func (p *Planner) Next(now time.Time) []Action {
	if p.table == nil {
		return nil
	}
	out := p.Probes(now)
	ids := p.Engines()
	for _, id := range ids {
		if e := p.engines[id]; e.goal != "" && e.pending == nil && now.Sub(e.goalAt) > goalTimeout {
			e.goal = ""
		}
	}
	out = p.planAdapters(now, out)
	demands := p.modelDemands(now)
	p.planModels(now, demands)
	for _, id := range ids {
		e := p.engines[id]
		if e.goal != "" && e.canBeOrdered(now) {
			out = p.advanceGoal(now, e, demands, out)
		}
	}
	return out
}

// probeDue reports whether the engine should be probed: its state isn't known, or the pending order should be done.
func (e *engine) probeDue(now time.Time) bool {
	return e.spec != nil && e.mayBeCalled(now) && e.State != registry.Gone && !e.Silent && (!e.stateKnown || e.pending != nil)
}

// canBeOrdered reports whether the engine can be given an order.
func (e *engine) canBeOrdered(now time.Time) bool {
	return e.spec != nil && e.usable() && e.stateKnown && e.pending == nil && e.mayBeCalled(now)
}

// newOrder returns an order and marks it as in flight.
func (p *Planner) newOrder(e *engine, kind fleet.OrderKind, t fleet.Target, reason string, store bool) Order {
	e.callInFlight = true
	return Order{
		Engine: e.ID, Incarnation: e.Incarnation, Address: e.Address, Kind: kind, Target: t, Expected: e.accepted,
		Reason: reason, FromStore: store,
	}
}

// planModels sets goals for engines. Models that requests wait for come first, then further replicas of busy models, then models
// without a replica where there is room.
func (p *Planner) planModels(now time.Time, demands map[demandKey]modelDemand) {
	p.countReplicas()
	p.countStoreLoads(now)
	p.updateSmoothedLoads(now)
	unmet := p.unmetRates(demands)
	p.planBoundRequests(now, demands)
	var keys []demandKey
	for k := range demands {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b demandKey) int {
		return cmp.Or(demands[b].waiting-demands[a].waiting, cmp.Compare(demands[b].rate, demands[a].rate),
			cmp.Compare(a.target.Model, b.target.Model))
	})
	for _, k := range keys {
		m := p.table.Model(k.service, k.target.Model)
		if m == nil {
			continue
		}
		replicas, inFlight := p.replicaCounts[k].total, p.smoothedLoads[k].value
		d := demands[k]
		// missing is the number of further replicas that the demand would keep busy.
		missing := max(inFlight/p.requestsPerReplica(k.service, d), d.prompt/p.cfg.PromptRatePerReplica) - float64(replicas)
		missing = max(missing, unmet[k])
		switch {
		case replicas == 0 && d.waiting > 0:
			p.setGoal(now, proposal{
				key: k, model: m, benefit: float64(d.waiting) + d.rate*arrivalHorizon, mayEvict: true, reason: "requests wait for it",
				waited: now.Sub(d.waitingSince),
			}, demands)
		case replicas > 0 && missing > 0:
			p.setGoal(now, proposal{
				key: k, model: m, benefit: missing * crowdedReplicaBenefit, mayEvict: true, reason: "replicas are busy", additional: true,
			}, demands)
		}
	}
	if now.Sub(p.idleGoalsSetAt) >= idleGoalInterval {
		p.idleGoalsSetAt = now
		p.setIdleGoals(now, demands)
	}
}

// idleGoalInterval is the interval of searches for models without a replica.
const idleGoalInterval = 200 * time.Millisecond

// setIdleGoals sets models without a replica as goals before any request for them. Only engines with enough free memory and their
// own copy of the weights are chosen.
func (p *Planner) setIdleGoals(now time.Time, demands map[demandKey]modelDemand) {
	for i := range p.table.Configuration.Services {
		s := &p.table.Configuration.Services[i]
		if s.Engine == nil {
			continue
		}
		for j := range s.Engine.Models {
			m := &s.Engine.Models[j]
			k := demandKey{s.Name, fleet.Target{Model: m.Name}}
			if p.replicaCounts[k].total == 0 {
				p.setGoal(now, proposal{key: k, model: m, reason: "no replica is loaded, and an engine has free memory"}, demands)
			}
		}
	}
}
