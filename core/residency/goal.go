package residency

import (
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// wish is a load that would serve requests better.
type wish struct {
	key   demandKey
	model *routes.Model
	// worth is what the load may cost at most, in the unit of costs of eviction.
	worth float64
	// push says that other models may be evicted for it, or the weight store be used.
	push   bool
	reason string
	// spare says that a replica serves already.
	spare bool
}

// setGoal chooses the engine that loads a model, if one can at a cost below the wish's worth.
func (p *Planner) setGoal(now time.Time, w wish, demands map[demandKey]modelDemand) {
	var best *engine
	var bestCost float64
	for _, id := range p.Engines() {
		e := p.engines[id]
		if e.Service != w.key.service || !e.free(now) || e.goal != "" || e.models[w.model.Name] != nil {
			continue
		}
		d, store := e.loadTime(w.model)
		if store && (!w.push || w.spare && w.worth < 1 || !p.storeAllows(now)) {
			continue
		}
		victims, cost, ok := p.victims(now, e, w.model, demands)
		if !ok || len(victims) > 0 && (!w.push || cost > w.worth*worthCost) {
			continue
		}
		cost += d.Seconds() * max(w.worth, 1)
		if store {
			cost += storeCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		best.goal, best.goalAt, best.reason = w.model.Name, now, w.reason
		p.countGoal(best)
	}
}

// pursue issues the next order towards an engine's goal.
func (p *Planner) pursue(now time.Time, e *engine, demands map[demandKey]modelDemand, out []Action) []Action {
	m := p.table.Model(e.Service, e.goal)
	if m == nil || e.models[e.goal] != nil || now.Sub(e.goalAt) > goalLife {
		e.goal = ""
		return out
	}
	victims, _, ok := p.victims(now, e, m, demands)
	if !ok {
		e.goal = ""
		return out
	}
	if len(victims) > 0 {
		v := victims[0]
		e.models[v].phase = unloading
		e.goalAt = now
		return append(out, p.issue(e, fleet.OrderUnload, fleet.Target{Model: v}, "room for model "+string(e.goal), false))
	}
	_, store := e.loadTime(m)
	if store {
		if !p.storeAllows(now) {
			return out
		}
		p.stored = append(p.stored, now)
	}
	h := p.specs(e.Service).holding(now, e.goal)
	h.phase = loading
	e.models[e.goal] = h
	o := p.issue(e, fleet.OrderLoad, fleet.Target{Model: e.goal}, e.reason, store)
	e.goal = ""
	return append(out, o)
}

// storeAllows says whether a load from the weight store may begin now.
func (p *Planner) storeAllows(now time.Time) bool {
	p.stored = slices.DeleteFunc(p.stored, func(t time.Time) bool { return now.Sub(t) >= p.cfg.StoreWindow })
	under := 0
	rate := 0.0
	for _, e := range p.engines {
		if e.spec != nil {
			rate = max(rate, e.spec.StoreRate)
		}
		if e.pending != nil && e.pending.Store || e.calling && e.pending == nil && e.loadingFromStore() {
			under++
		}
	}
	return under < p.cfg.StoreConcurrent && float64(len(p.stored)+1) <= rate*p.cfg.StoreWindow.Seconds()*p.cfg.StoreShare
}

// loadingFromStore says whether a load that isn't answered yet is under way.
func (e *engine) loadingFromStore() bool {
	for name, h := range e.models {
		if h.phase == loading && !e.inMemory[name] && !e.onDisk[name] {
			return true
		}
	}
	return false
}
