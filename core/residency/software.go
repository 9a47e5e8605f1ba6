package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// softwareKey is a model at engines of one software version.
type softwareKey struct {
	demandKey
	software fleet.SoftwareVersion
}

// boundRequests holds the requests that wait for a model at engines of one software version, since their streams have begun there.
type boundRequests struct {
	waiting map[softwareKey]map[fleet.HostID]int
	// since is the time since which requests have waited without a break.
	since map[softwareKey]time.Time
}

// update replaces what a host has reported.
func (b *boundRequests) update(now time.Time, host fleet.HostID, list []Demand) {
	for k, hosts := range b.waiting {
		if delete(hosts, host); len(hosts) == 0 {
			delete(b.waiting, k)
		}
	}
	for _, d := range list {
		if d.Software == "" || d.Waiting == 0 {
			continue
		}
		if b.waiting == nil {
			b.waiting, b.since = map[softwareKey]map[fleet.HostID]int{}, map[softwareKey]time.Time{}
		}
		k := softwareKey{demandKey{d.Service, fleet.Target{Model: d.Target.Model}}, d.Software}
		if b.waiting[k] == nil {
			if len(b.waiting) >= maxTargets {
				continue
			}
			b.waiting[k] = map[fleet.HostID]int{}
		}
		if b.since[k].IsZero() {
			b.since[k] = now
		}
		b.waiting[k][host] += d.Waiting
	}
	maps.DeleteFunc(b.since, func(k softwareKey, _ time.Time) bool { return b.waiting[k] == nil })
}

// planBoundRequests sets goals for engines of the software versions at which streams wait for a model that no engine of theirs holds.
func (p *Planner) planBoundRequests(now time.Time, demands map[demandKey]modelDemand) {
	keys := slices.SortedFunc(maps.Keys(p.bound.waiting), func(a, b softwareKey) int {
		return cmp.Or(cmp.Compare(a.target.Model, b.target.Model), cmp.Compare(a.software, b.software), cmp.Compare(a.service, b.service))
	})
	for _, k := range keys {
		m := p.table.Model(k.service, k.target.Model)
		if m == nil || p.isPlannedAt(k) {
			continue
		}
		waiting := 0
		for _, n := range p.bound.waiting[k] {
			waiting += n
		}
		p.setGoal(now, proposal{
			key: k.demandKey, software: k.software, model: m, benefit: float64(waiting), mayEvict: true,
			reason: "streams of this software version wait for it", waited: now.Sub(p.bound.since[k]),
		}, demands)
	}
}

// isPlannedAt reports whether an engine of a software version holds a model or is about to load it.
func (p *Planner) isPlannedAt(k softwareKey) bool {
	for _, e := range p.engines {
		if e.Service != k.service || e.Software != k.software || !e.usable() {
			continue
		}
		if h := e.models[k.target.Model]; h != nil && h.phase != unloading || e.goal == k.target.Model {
			return true
		}
	}
	return false
}
