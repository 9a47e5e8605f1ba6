package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Weights of costs. The unit is a request that has to wait a second.
const (
	// waitWorth is the number of seconds of a model's further requests that a load serves.
	waitWorth = 3.0
	// worthCost is how much eviction may cost for each unit of a wish's worth.
	worthCost = 2.0
	// storeCost is the cost of a load from the weight store, of which few run at once.
	storeCost = 4.0
	// lastCopyCost is the cost of evicting the only replica, and lastCopyRate that for each request a second for it.
	lastCopyCost = 0.4
	lastCopyRate = 2.0
	// spareCopyRate is the cost of evicting one replica of several for each request a second that it would serve.
	spareCopyRate = 0.7
	// drainCost is the cost of an eviction that waits for requests under way, and runningCost that of each of them.
	drainCost   = 2.5
	runningCost = 0.2
	// recentCost is the cost of evicting a model that was loaded a moment ago, so that two don't push each other out.
	recentCost = 3.0
	recentLoad = 3 * time.Second
	// goalLife is how long an engine is kept free for a goal that can't be pursued.
	goalLife = 1500 * time.Millisecond
)

// victims returns the models that have to go for a load to fit, with their cost.
func (p *Planner) victims(now time.Time, e *engine, m *routes.Model, demands map[demandKey]modelDemand) ([]fleet.ModelID, float64, bool) {
	need := e.taken() + m.Weights + e.adapterReserve(m) - e.spec.Weights
	if need <= 0 {
		return nil, 0, true
	}
	type option struct {
		model fleet.ModelID
		size  fleet.Bytes
		cost  float64
	}
	var options []option
	for name, h := range e.models {
		if h.phase != held {
			continue
		}
		options = append(options, option{name, h.weights + fleet.Bytes(len(h.adapters))*h.adapter, p.evictionCost(now, e, name, h, demands)})
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.model, b.model))
	})
	// One model that is large enough may be cheaper than several small ones.
	single := slices.IndexFunc(options, func(o option) bool { return o.size >= need })
	var out []fleet.ModelID
	total, left := 0.0, need
	for _, o := range options {
		if left <= 0 {
			break
		}
		out = append(out, o.model)
		left -= o.size
		total += o.cost
	}
	if single >= 0 && (left > 0 || options[single].cost <= total) {
		return []fleet.ModelID{options[single].model}, options[single].cost, true
	}
	return out, total, left <= 0
}

// adapterReserve is the memory that is kept for adapters of a model that is to be loaded.
func (e *engine) adapterReserve(m *routes.Model) fleet.Bytes {
	return min(fleet.Bytes(min(e.spec.AdapterSlots, m.Adapters))*m.Adapter, max(e.spec.Weights-m.Weights, 0))
}

// evictionCost returns what evicting a model costs its own requests.
func (p *Planner) evictionCost(now time.Time, e *engine, name fleet.ModelID, h *holding, demands map[demandKey]modelDemand) float64 {
	k := demandKey{e.Service, fleet.Target{Model: name}}
	n := p.tallies[k].ready
	cost := 0.0
	if running := e.load[name]; running > 0 {
		cost = drainCost + runningCost*float64(running)
	}
	if n <= 1 {
		cost += lastCopyCost + lastCopyRate*demands[k].rate
	} else {
		cost += spareCopyRate * demands[k].rate / float64(n-1)
	}
	if now.Sub(h.since) < recentLoad {
		cost += recentCost
	}
	return cost
}
