package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
)

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
