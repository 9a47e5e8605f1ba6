package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
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
	demands := p.modelDemands(now)
	p.planModels(now, demands)
	for _, id := range ids {
		e := p.engines[id]
		if e.goal != "" && e.free(now) {
			out = p.pursue(now, e, demands, out)
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

// planModels sets goals for engines: models that requests wait for first, then more replicas of busy ones, then models without
// any replica where there is room.
func (p *Planner) planModels(now time.Time, demands map[demandKey]modelDemand) {
	p.count()
	p.smooth(now)
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
		copies, load := p.tallies[k].copies, p.levels[k].value
		d := demands[k]
		// crowding is how many more replicas the demand would keep busy.
		crowding := max(load/float64(p.cfg.CopyLoad), d.prompt/p.cfg.CopyPrompt) - float64(copies)
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
