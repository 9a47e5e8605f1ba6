package residency

import "toucanway/core/fleet"

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
