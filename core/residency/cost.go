package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Parameters of the cost model. The unit of cost is one request that waits for one second.
const (
	// arrivalHorizon is the number of seconds of future arrivals that count towards the benefit of a load.
	arrivalHorizon = 3.0
	// maxCostPerBenefit is the largest acceptable cost of evictions per unit of a load's benefit.
	maxCostPerBenefit = 2.0
	// storeCost is the cost of a load from the weight store, which allows only a few at once.
	storeCost = 4.0
	// lastReplicaCost is the cost of evicting the only replica; lastReplicaRateCost is added for each request per second for the
	// model.
	lastReplicaCost     = 0.4
	lastReplicaRateCost = 2.0
	// spareReplicaRateCost is the cost of evicting one of several replicas, for each request per second that each remaining
	// replica would then serve.
	spareReplicaRateCost = 0.7
	// drainCost is the cost of an eviction that waits for requests in flight; inFlightCost is added for each of them.
	drainCost    = 2.5
	inFlightCost = 0.2
	// recentLoadCost is the cost of evicting a model that was loaded less than recentLoadWindow ago. It keeps two models from
	// evicting each other in turn.
	recentLoadCost   = 3.0
	recentLoadWindow = 3 * time.Second
	// goalTimeout is how long an engine stays reserved for a goal without progress.
	goalTimeout = 1500 * time.Millisecond
)

// selectVictims returns the models to evict so that a model fits, the total cost of their eviction, and false if evictions can't
// make enough room.
func (p *Planner) selectVictims(now time.Time, e *engine, m *routes.Model, demands map[demandKey]modelDemand) ([]fleet.ModelID, float64, bool) {
	var unknown []fleet.ModelID
	unknownCost := 0.0
	for name, h := range e.models {
		switch {
		case h.size != nil:
		case h.phase != loaded:
			return nil, 0, false
		default:
			// It may take all the room that other evictions make.
			unknown = append(unknown, name)
			unknownCost += p.evictionCost(now, e, name, h, demands)
		}
	}
	slices.Sort(unknown)
	known, _ := e.knownMemory()
	victims, cost, ok := p.selectOfKnownSize(now, e, known+m.Weights+e.adapterReserve(m)-e.spec.Weights, demands)
	return append(unknown, victims...), unknownCost + cost, ok
}

// selectOfKnownSize returns models of known size to evict for an amount of memory, the total cost of their eviction, and false if they don't
// free that much.
func (p *Planner) selectOfKnownSize(now time.Time, e *engine, need fleet.Bytes, demands map[demandKey]modelDemand) ([]fleet.ModelID, float64, bool) {
	if need <= 0 {
		return nil, 0, true
	}
	type candidate struct {
		model fleet.ModelID
		size  fleet.Bytes
		cost  float64
	}
	var candidates []candidate
	for name, h := range e.models {
		if size, ok := h.memory(); ok && h.phase == loaded {
			candidates = append(candidates, candidate{name, size, p.evictionCost(now, e, name, h, demands)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.model, b.model))
	})
	// Evicting one model that is large enough may be cheaper than evicting several small ones.
	single := slices.IndexFunc(candidates, func(o candidate) bool { return o.size >= need })
	var out []fleet.ModelID
	total, left := 0.0, need
	for _, o := range candidates {
		if left <= 0 {
			break
		}
		out = append(out, o.model)
		left -= o.size
		total += o.cost
	}
	if single >= 0 && (left > 0 || candidates[single].cost <= total) {
		return []fleet.ModelID{candidates[single].model}, candidates[single].cost, true
	}
	return out, total, left <= 0
}

// adapterReserve returns the memory that is set aside for the adapters of a model that is to be loaded.
func (e *engine) adapterReserve(m *routes.Model) fleet.Bytes {
	return min(fleet.Bytes(min(e.spec.AdapterSlots, m.Adapters))*m.AdapterSize, max(e.spec.Weights-m.Weights, 0))
}

// evictionCost returns the cost of evicting a model from an engine for the requests that need the model.
func (p *Planner) evictionCost(now time.Time, e *engine, name fleet.ModelID, h *modelState, demands map[demandKey]modelDemand) float64 {
	k := demandKey{e.Service, fleet.Target{Model: name}}
	n := p.replicaCounts[k].ready
	cost := 0.0
	if running := e.inFlightByModel[name]; running > 0 {
		cost = drainCost + inFlightCost*float64(running)
	}
	if p.table.Model(e.Service, name) == nil {
		// No configuration in force has requests for it.
		return cost
	}
	if n <= 1 {
		cost += lastReplicaCost + lastReplicaRateCost*demands[k].rate
	} else {
		cost += spareReplicaRateCost * demands[k].rate / float64(n-1)
	}
	if now.Sub(h.loadedAt) < recentLoadWindow {
		cost += recentLoadCost
	}
	return cost
}
