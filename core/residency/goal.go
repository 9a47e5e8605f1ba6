package residency

import (
	"slices"
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
		p.storeLoads = append(p.storeLoads, now)
	}
	h := p.modelSpecs(e.Service).newModelState(now, e.goal)
	h.phase = loading
	e.models[e.goal] = h
	o := p.newOrder(e, fleet.OrderLoad, fleet.Target{Model: e.goal}, e.goalReason, store)
	e.goal = ""
	return append(out, o)
}

// storeAllowsLoad reports whether the limits of the weight store allow a load from it to start now.
func (p *Planner) storeAllowsLoad(now time.Time) bool {
	p.storeLoads = slices.DeleteFunc(p.storeLoads, func(t time.Time) bool { return now.Sub(t) >= p.cfg.StoreWindow })
	active := 0
	rate := 0.0
	for _, e := range p.engines {
		if e.spec != nil {
			rate = max(rate, e.spec.StoreRate)
		}
		if e.pending != nil && e.pending.FromStore || e.callInFlight && e.pending == nil && e.loadingFromStore() {
			active++
		}
	}
	return active < p.cfg.ConcurrentStoreLoads && float64(len(p.storeLoads)+1) <= rate*p.cfg.StoreWindow.Seconds()*p.cfg.StoreShare
}

// loadingFromStore reports whether the engine is loading a model from the weight store because it has no copy of the weights.
func (e *engine) loadingFromStore() bool {
	for name, h := range e.models {
		if h.phase == loading && !e.inMemory[name] && !e.onDisk[name] {
			return true
		}
	}
	return false
}
