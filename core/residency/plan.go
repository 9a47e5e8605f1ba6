package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

// Probes returns the reports to ask for now, which is all that a host may do that doesn't order engines yet.
func (p *Planner) Probes(now time.Time) []Action {
	var out []Action
	for _, id := range p.Engines() {
		if e := p.engines[id]; e.probeDue(now) {
			e.calling = true
			out = append(out, Probe{e.ID, e.Incarnation, e.Address})
		}
	}
	return out
}

// Next returns what to do now. At most one action for each engine is under way at a time.
func (p *Planner) Next(now time.Time) []Action {
	if p.table == nil {
		return nil
	}
	out := p.Probes(now)
	ids := p.Engines()
	for _, id := range ids {
		if e := p.engines[id]; e.goal != "" && e.pending == nil && now.Sub(e.goalAt) > goalLife {
			e.goal = ""
		}
	}
	out = p.planAdapters(now, out)
	p.planModels(now)
	for _, id := range ids {
		e := p.engines[id]
		if e.goal != "" && e.free(now) {
			out = p.pursue(now, e, out)
		}
	}
	return out
}

// probeDue says whether the engine's state has to be asked for: it isn't known, or an order should be done.
func (e *engine) probeDue(now time.Time) bool {
	return e.spec != nil && !e.calling && !now.Before(e.after) && e.State != registry.Gone && !e.Silent && (!e.known || e.pending != nil)
}

// free says whether the engine can be given an order.
func (e *engine) free(now time.Time) bool {
	return e.spec != nil && e.usable() && e.known && !e.calling && e.pending == nil && !now.Before(e.after)
}

// issue notes an order as under way.
func (p *Planner) issue(e *engine, kind fleet.OrderKind, t fleet.Target, reason string, store bool) Order {
	e.calling = true
	return Order{
		Engine: e.ID, Incarnation: e.Incarnation, Address: e.Address, Kind: kind, Target: t, Expected: e.accepted,
		Reason: reason, Store: store,
	}
}

// planAdapters orders adapters that requests wait for.
func (p *Planner) planAdapters(now time.Time, out []Action) []Action {
	var keys []demandKey
	for k, d := range p.demands {
		if k.target.Adapter != "" && d.wanted() > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b demandKey) int {
		return cmp.Or(p.demands[a].urgent-p.demands[b].urgent, p.demands[b].wanted()-p.demands[a].wanted(),
			cmp.Compare(a.target.Adapter, b.target.Adapter), cmp.Compare(a.target.Model, b.target.Model))
	})
	for _, k := range keys {
		if e := p.adapterPlace(now, k); e != nil {
			out = append(out, p.orderAdapter(now, e, k.target))
		}
	}
	return out
}

// adapterPlace returns the engine that is to load an adapter now; nil if one has it already or none can.
func (p *Planner) adapterPlace(now time.Time, k demandKey) *engine {
	var best *engine
	var bestScore int
	for _, id := range p.Engines() {
		e := p.engines[id]
		h := e.models[k.target.Model]
		if e.Service != k.service || h == nil || h.phase != held || !e.usable() {
			continue
		}
		if h.adapters[k.target.Adapter] != nil {
			return nil
		}
		if !e.free(now) {
			continue
		}
		score := e.requests()
		if !e.roomFor(h) {
			if _, ok := e.idleAdapter(now); !ok {
				continue
			}
			score += adapterEviction
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// adapterEviction is the number of requests that an engine without a free adapter slot counts as.
const adapterEviction = 8

// orderAdapter loads an adapter, or makes room for it first.
func (p *Planner) orderAdapter(now time.Time, e *engine, t fleet.Target) Action {
	h := e.models[t.Model]
	if !e.roomFor(h) {
		victim, _ := e.idleAdapter(now)
		return p.issue(e, fleet.OrderUnloadAdapter, victim, "room for adapter "+string(t.Adapter), false)
	}
	h.adapters[t.Adapter] = &adapter{ready: now.Add(time.Hour), used: now}
	return p.issue(e, fleet.OrderLoadAdapter, t, "requests wait for it", false)
}

// roomFor says whether another adapter of a model fits.
func (e *engine) roomFor(h *holding) bool {
	return e.adapters() < e.spec.AdapterSlots && e.taken()+h.adapter <= e.spec.Weights
}

// idleAdapter returns the adapter that was not used for the longest time. One that a request may still use is none: its unload
// would keep the engine from other orders until the request has ended.
func (e *engine) idleAdapter(now time.Time) (t fleet.Target, ok bool) {
	var oldest time.Time
	for name, h := range e.models {
		for a, x := range h.adapters {
			at := fleet.Target{Model: name, Adapter: a}
			if e.running[at] > 0 || now.Sub(x.used) < adapterUse {
				continue
			}
			if !ok || x.used.Before(oldest) || x.used.Equal(oldest) && a < t.Adapter {
				t, oldest, ok = at, x.used, true
			}
		}
	}
	return t, ok
}

// adapterUse is how long after it was asked for an adapter may be in use without a host having told so.
const adapterUse = 600 * time.Millisecond

// planModels sets goals for engines: models that requests wait for first, then more replicas of busy ones, then models without
// any replica where there is room.
func (p *Planner) planModels(now time.Time) {
	demands := p.modelDemands(now)
	p.count()
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
		copies, load := p.tallies[k].copies, p.tallies[k].load
		d := demands[k]
		// crowding is how many more replicas the demand would keep busy.
		crowding := max(float64(load)/float64(p.cfg.CopyLoad), d.prompt/p.cfg.CopyPrompt) - float64(copies)
		switch {
		case copies == 0 && d.waiting > 0:
			p.setGoal(now, wish{k, m, float64(d.waiting) + d.rate*waitWorth, true, "requests wait for it", false}, demands)
		case copies > 0 && crowding > 0:
			p.setGoal(now, wish{k, m, crowding, true, "replicas are busy", true}, demands)
		}
	}
	if now.Sub(p.filled) >= fillInterval {
		p.filled = now
		p.fill(now, demands)
	}
}

// fillInterval is the time between two searches for models without a replica.
const fillInterval = 200 * time.Millisecond

// fill gives engines with free memory and a copy at hand the models that no engine holds, before anybody asks for them.
func (p *Planner) fill(now time.Time, demands map[demandKey]modelDemand) {
	for i := range p.table.Configuration.Services {
		s := &p.table.Configuration.Services[i]
		if s.Engine == nil {
			continue
		}
		for j := range s.Engine.Models {
			m := &s.Engine.Models[j]
			k := demandKey{s.Name, fleet.Target{Model: m.Name}}
			if p.tallies[k].copies == 0 {
				p.setGoal(now, wish{k, m, 0, false, "no replica, and there is room", false}, demands)
			}
		}
	}
}

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

// tally counts the replicas of a model.
type tally struct {
	// copies are all replicas, those on their way included, and ready those that take requests now.
	copies, ready int
	// load is the number of requests under way at them.
	load int
}

// count counts the replicas of all models once, since each look at all engines is dear where there are many.
func (p *Planner) count() {
	p.tallies = map[demandKey]tally{}
	for _, e := range p.engines {
		if !e.usable() {
			continue
		}
		for name, h := range e.models {
			if h.phase == unloading {
				continue
			}
			k := demandKey{e.Service, fleet.Target{Model: name}}
			t := p.tallies[k]
			t.copies++
			t.load += e.load[name]
			if h.phase == held {
				t.ready++
			}
			p.tallies[k] = t
		}
		if e.goal != "" && e.models[e.goal] == nil {
			p.countGoal(e)
		}
	}
}

// countGoal counts the replica that an engine is to load.
func (p *Planner) countGoal(e *engine) {
	k := demandKey{e.Service, fleet.Target{Model: e.goal}}
	t := p.tallies[k]
	t.copies++
	p.tallies[k] = t
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

// pursue issues the next order towards an engine's goal.
func (p *Planner) pursue(now time.Time, e *engine, out []Action) []Action {
	m := p.table.Model(e.Service, e.goal)
	if m == nil || e.models[e.goal] != nil || now.Sub(e.goalAt) > goalLife {
		e.goal = ""
		return out
	}
	victims, _, ok := p.victims(now, e, m, p.modelDemands(now))
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
