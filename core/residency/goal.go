package residency

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// proposal is a load that the planner considers.
type proposal struct {
	key demandKey
	// software is the software version of the engines that the load helps at; empty for any.
	software fleet.SoftwareVersion
	model    *routes.Model
	// benefit is the benefit of the load, in the unit of eviction costs.
	benefit float64
	// mayEvict is set if the load may evict other models or fetch from the weight store.
	mayEvict bool
	reason   string
	// additional is set if the model has a replica already.
	additional bool
	// waited is the time for which requests have waited for the model.
	waited time.Duration
}

// setGoal chooses the engine at which a load is cheapest and makes the model its goal, if the load's benefit justifies the
// evictions. It sets no goal if the load is cheaper at an engine that can't be ordered yet: a load from the weight store would
// keep another engine from carrying out orders for seconds. Requests that have waited as long as such a load takes wait no longer.
func (p *Planner) setGoal(now time.Time, w proposal, demands map[demandKey]modelDemand) {
	var best, soonest *engine
	var bestCost, soonestCost float64
	for _, id := range p.Engines() {
		e := p.engines[id]
		if w.software != "" && e.Software != w.software {
			continue
		}
		if e.Service != w.key.service || e.models[w.model.Name] != nil {
			continue
		}
		orderable := e.canBeOrdered(now) && e.goal == ""
		if !orderable && !e.orderableSoon() {
			continue
		}
		cost, ok := p.loadCost(now, e, w, demands)
		switch {
		case !ok:
		case orderable:
			if best == nil || cost < bestCost {
				best, bestCost = e, cost
			}
		default:
			cost += e.timeUntilOrder(now).Seconds() * max(w.benefit, 1)
			if soonest == nil || cost < soonestCost {
				soonest, soonestCost = e, cost
			}
		}
	}
	if best == nil || soonest != nil && soonestCost < bestCost && w.waited < w.model.StoreLoad {
		return
	}
	best.goal, best.goalAt, best.goalReason = w.model.Name, now, w.reason
	p.countGoal(best)
	if p.plansStoreLoad(best) {
		p.storeTaken++
	}
}

// loadCost returns the cost of a load at an engine, and false if the load is not possible or not worth its evictions.
func (p *Planner) loadCost(now time.Time, e *engine, w proposal, demands map[demandKey]modelDemand) (float64, bool) {
	if w.additional && e.Limit.Named {
		// It takes no more requests with a further model.
		return 0, false
	}
	d, store := e.loadTime(w.model)
	if store && (!w.mayEvict || w.additional && w.benefit < 1 || !p.storeAllowsLoad(e)) {
		return 0, false
	}
	victims, cost, ok := p.selectVictims(now, e, w.model, demands)
	if !ok || len(victims) > 0 && (!w.mayEvict || cost > w.benefit*maxCostPerBenefit) {
		return 0, false
	}
	cost += d.Seconds() * max(w.benefit, 1)
	if e.Limit.Named {
		cost += limitedEngineCost
	}
	if store {
		cost += storeCost
	}
	return cost, true
}

const (
	// goalTime is the expected time until an engine with a goal can be ordered again.
	goalTime = 1500 * time.Millisecond
	// callTime is the expected time until an engine with a call in flight can be ordered again.
	callTime = 100 * time.Millisecond
)

// orderableSoon reports whether the engine only waits for the end of an order or a call.
func (e *engine) orderableSoon() bool {
	return e.spec != nil && e.usable() && (e.stateKnown || e.callInFlight)
}

// timeUntilOrder returns the expected time until an engine can be ordered.
func (e *engine) timeUntilOrder(now time.Time) time.Duration {
	d := max(e.notBefore.Sub(now), e.pausedUntil.Sub(now), callTime)
	if e.goal != "" {
		d += goalTime
	}
	return d
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
		if !p.storeAllowsLoad(e) {
			return out
		}
		p.recordStoreLoad(now, e)
	}
	h := p.newModelState(now, e, e.goal)
	h.phase = loading
	e.models[e.goal] = h
	o := p.newOrder(e, fleet.OrderLoad, fleet.Target{Model: e.goal}, e.goalReason, store)
	e.goal = ""
	return append(out, o)
}
