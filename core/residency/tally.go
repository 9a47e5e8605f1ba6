package residency

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

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

// level follows the number of requests under way with the time constant levelWindow: a peak of a moment is over before a load is
// done, and it must not matter how often the number is looked at.
type level struct {
	value float64
	at    time.Time
}

const (
	levelWindow = 2 * time.Second
	// leastLevel is the level below which one is dropped.
	leastLevel = 0.01
)

func (l level) follow(now time.Time, x float64) level {
	f := math.Exp(-float64(now.Sub(l.at)) / float64(levelWindow))
	return level{x + (l.value-x)*f, now}
}

// smooth brings the levels of all models up to date.
func (p *Planner) smooth(now time.Time) {
	for k := range p.tallies {
		l, ok := p.levels[k]
		if !ok {
			l.at = now
		}
		p.levels[k] = l.follow(now, float64(p.tallies[k].load))
	}
	for k, l := range p.levels {
		if _, ok := p.tallies[k]; !ok {
			l = l.follow(now, 0)
			p.levels[k] = l
		}
		if l.value < leastLevel && p.tallies[k].load == 0 {
			delete(p.levels, k)
		}
	}
}
