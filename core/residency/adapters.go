package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// planAdapters appends orders to load the adapters that requests wait for, the most urgent ones first.
func (p *Planner) planAdapters(now time.Time, out []Action) []Action {
	var keys []demandKey
	for k, d := range p.demands {
		if k.target.Adapter != "" && d.waitingRequests() > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b demandKey) int {
		return cmp.Or(p.demands[a].topPriority-p.demands[b].topPriority, p.demands[b].waitingRequests()-p.demands[a].waitingRequests(),
			cmp.Compare(a.target.Adapter, b.target.Adapter), cmp.Compare(a.target.Model, b.target.Model))
	})
	for _, k := range keys {
		if e := p.adapterEngine(now, k); e != nil {
			out = append(out, p.orderAdapter(now, e, k.target))
		}
	}
	return out
}

// adapterEngine returns the engine that should load an adapter now, or nil if an engine has it already or none can load it.
func (p *Planner) adapterEngine(now time.Time, k demandKey) *engine {
	var best *engine
	var bestScore int
	for _, id := range p.Engines() {
		e := p.engines[id]
		h := e.models[k.target.Model]
		if e.Service != k.service || h == nil || h.phase != loaded || !e.usable() {
			continue
		}
		if h.adapters[k.target.Adapter] != nil {
			return nil
		}
		if !e.canBeOrdered(now) {
			continue
		}
		score := e.inFlight()
		if h.size == nil {
			continue
		}
		if !e.adapterFits(h) {
			_, mayUnloadModel := e.modelOfUnknownSize()
			if _, ok := e.leastRecentlyUsedAdapter(now); !ok && !mayUnloadModel {
				continue
			}
			score += adapterEvictionPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// adapterEvictionPenalty is added to the number of requests in flight of an engine that would have to unload something first.
const adapterEvictionPenalty = 8

// orderAdapter returns the order to load an adapter, or to unload a model of unknown size or another adapter first if there is no room.
func (p *Planner) orderAdapter(now time.Time, e *engine, t fleet.Target) Action {
	h := e.models[t.Model]
	if v, ok := e.modelOfUnknownSize(); ok {
		// No adapter fits beside it.
		e.models[v].phase = unloading
		return p.newOrder(e, fleet.OrderUnload, fleet.Target{Model: v}, "its size is not known, and adapter "+string(t.Adapter)+" needs room", false)
	}
	if !e.adapterFits(h) {
		victim, _ := e.leastRecentlyUsedAdapter(now)
		return p.newOrder(e, fleet.OrderUnloadAdapter, victim, "room for adapter "+string(t.Adapter), false)
	}
	h.adapters[t.Adapter] = &adapter{readyAt: now.Add(time.Hour), lastUsed: now}
	return p.newOrder(e, fleet.OrderLoadAdapter, t, "requests wait for it", false)
}

// adapterFits reports whether another adapter of a model fits.
func (e *engine) adapterFits(h *modelState) bool {
	return e.adapterCount() < e.spec.AdapterSlots && h.size != nil && e.usedMemory()+h.size.adapter <= e.spec.Weights
}

// leastRecentlyUsedAdapter returns the least recently used adapter that no request uses, and whether there is one. Unloading an
// adapter in use would block the engine for other orders until the request has ended.
func (e *engine) leastRecentlyUsedAdapter(now time.Time) (t fleet.Target, ok bool) {
	var oldest time.Time
	for name, h := range e.models {
		for a, x := range h.adapters {
			target := fleet.Target{Model: name, Adapter: a}
			if e.inFlightByTarget[target] > 0 || now.Sub(x.lastUsed) < adapterInUseTime {
				continue
			}
			if !ok || x.lastUsed.Before(oldest) || x.lastUsed.Equal(oldest) && a < t.Adapter {
				t, oldest, ok = target, x.lastUsed, true
			}
		}
	}
	return t, ok
}

// adapterInUseTime is the time after a request for an adapter during which it may be in use although no host has reported so yet.
const adapterInUseTime = 600 * time.Millisecond
