package residency

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// proposal is a load that the planner considers.
type proposal struct {
	key   demandKey
	model *routes.Model
	// benefit is the benefit of the load, in the unit of eviction costs.
	benefit float64
	// mayEvict is set if the load may evict other models or fetch from the weight store.
	mayEvict bool
	reason   string
	// additional is set if the model has a replica already.
	additional bool
}

// setGoal chooses the engine at which a load is cheapest and makes the model its goal, if the load's benefit justifies the
// evictions.
func (p *Planner) setGoal(now time.Time, w proposal, demands map[demandKey]modelDemand) {
	var best *engine
	var bestCost float64
	for _, id := range p.Engines() {
		e := p.engines[id]
		if e.Service != w.key.service || !e.canBeOrdered(now) || e.goal != "" || e.models[w.model.Name] != nil {
			continue
		}
		d, store := e.loadTime(w.model)
		if store && (!w.mayEvict || w.additional && w.benefit < 1 || !p.storeAllowsLoad(now)) {
			continue
		}
		victims, cost, ok := p.selectVictims(now, e, w.model, demands)
		if !ok || len(victims) > 0 && (!w.mayEvict || cost > w.benefit*maxCostPerBenefit) {
			continue
		}
		cost += d.Seconds() * max(w.benefit, 1)
		if store {
			cost += storeCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		best.goal, best.goalAt, best.goalReason = w.model.Name, now, w.reason
		p.countGoal(best)
	}
}

// advanceGoal appends the next order towards an engine's goal: the eviction of a victim, or the load itself.
func (p *Planner) advanceGoal(now time.Time, e *engine, demands map[demandKey]modelDemand, out []Action) []Action {
	m := p.table.Model(e.Service, e.goal)
	if m == nil || e.models[e.goal] != nil || now.Sub(e.goalAt) > goalTimeout {
		e.goal = ""
		return out
	}
	victims, _, ok := p.selectVictims(now, e, m, demands)
	if !ok {
		e.goal = ""
		return out
	}
	if len(victims) > 0 {
		v := victims[0]
		e.models[v].phase = unloading
		e.goalAt = now
		return append(out, p.newOrder(e, fleet.OrderUnload, fleet.Target{Model: v}, "room for model "+string(e.goal), false))
	}
	_, store := e.loadTime(m)
	if store {
		if !p.storeAllowsLoad(now) {
			return out
		}
		p.recordStoreLoad(now, e)
	}
	h := p.modelSpecs(e.Service).newModelState(now, e.goal)
	h.phase = loading
	e.models[e.goal] = h
	o := p.newOrder(e, fleet.OrderLoad, fleet.Target{Model: e.goal}, e.goalReason, store)
	e.goal = ""
	return append(out, o)
}
