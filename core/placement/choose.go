package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

const (
	// drainTime is the expected time until an idle replica is unloaded.
	drainTime = 3 * time.Second
	// reservationAge bounds how long freed memory is kept for the model that it was freed for.
	reservationAge = 30 * time.Second
	// sameCentre and sameRack are what a second replica in one place counts as longer, since one failure takes both.
	sameCentre = 4 * time.Second
	sameRack   = 2 * time.Second
	// farRegion is what a server far from all callers counts as longer.
	farRegion = 6 * time.Second
	// unmetSpread outweighs any load time while the operators' spread is not met.
	unmetSpread = time.Hour
	// returnHorizon is the span in which the return of an evicted model counts as a cost.
	returnHorizon = 10 * time.Minute
)

// choice is a backend server for a load with the expected time to ready.
type choice struct {
	sv    *server
	tier  fleet.Tier
	ready time.Duration
	// victims are replicas to unload first; waits says that this is under way already.
	victims []int32
	waits   bool
	score   time.Duration
	left    fleet.Bytes
}

// spread counts a model's replicas by the numbers of their places.
type spread struct {
	regions, centres, racks []int
	// inRegions and inCentres are the numbers of different places.
	inRegions, inCentres int
	// weight is the share of the callers' requests by region.
	weight []float64
}

func (p *Planner) spreadOf(m *model) spread {
	v := &p.view
	s := spread{
		regions: make([]int, len(v.regions)), centres: make([]int, len(v.centres)), racks: make([]int, len(v.racks)),
		weight: make([]float64, len(v.regions)),
	}
	add := func(id fleet.BackendID) {
		sv := v.server(id)
		if sv == nil {
			return
		}
		if s.regions[sv.region]++; s.regions[sv.region] == 1 {
			s.inRegions++
		}
		if s.centres[sv.centre]++; s.centres[sv.centre] == 1 {
			s.inCentres++
		}
		s.racks[sv.rack]++
	}
	for _, i := range m.records {
		switch r := &v.replicas[i]; r.State {
		case control.ReplicaIntended, control.ReplicaSent, control.ReplicaReady, control.ReplicaInDoubt:
			add(r.Backend)
		}
	}
	if m.pending > 0 {
		for k := range p.proposed {
			if k.model == m.decl.ID {
				add(k.backend)
			}
		}
	}
	total := 0
	for _, n := range m.demand.Regions {
		total += n
	}
	for r, n := range m.demand.Regions {
		if i, ok := v.regions[r]; ok {
			s.weight[i] = float64(n) / float64(total)
		}
	}
	return s
}

// choose returns the backend server with the least time to ready, with penalties for places that hold a replica already
// or that are far from the callers. ahead is the number of loads queued before this one.
func (p *Planner) choose(now time.Time, m *model, ahead int) (choice, bool) {
	sp := p.spreadOf(m)
	remote := time.Duration(float64(m.loadTime(fleet.TierRemote))*p.budget.Slowdown(now)) +
		p.budget.Wait(now, ahead, m.loadTime(fleet.TierRemote))
	called := len(m.demand.Regions) > 0
	var best choice
	found, ties := false, 0
	for i := range p.view.servers {
		sv := &p.view.servers[i]
		c := choice{sv: sv}
		if !p.usable(m, sv) || !p.fit(now, m, &c) {
			continue
		}
		c.tier = tierOf(sv, m.decl.ID)
		load := remote
		if c.tier != fleet.TierRemote {
			load = m.loadTime(c.tier)
		}
		c.ready += load
		c.score = c.ready + m.penalty(&sp, sv, called)
		switch {
		case !found || c.score < best.score || c.score == best.score && c.left < best.left:
			best, found, ties = c, true, 1
		case c.score == best.score && c.left == best.left:
			if ties++; p.rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best, found
}

// usable reports whether a model may be loaded on a backend server at all.
func (p *Planner) usable(m *model, sv *server) bool {
	a := &sv.Announcement
	if a.Kind != fleet.KindEngine || sv.Lost || sv.Leaving || sv.Owner == "" {
		return false
	}
	if len(m.decl.Regions) > 0 && !slices.Contains(m.decl.Regions, a.Place.Region) {
		return false
	}
	for _, i := range sv.replicas {
		if p.view.replicas[i].Model == m.decl.ID {
			return false
		}
	}
	if len(p.failed) > 0 {
		if _, ok := p.failed[slot{m.decl.ID, a.ID}]; ok {
			return false
		}
	}
	if sv.pending > 0 {
		if _, ok := p.proposed[slot{m.decl.ID, a.ID}]; ok {
			return false
		}
	}
	if len(p.reserved) > 0 {
		if r, ok := p.reserved[a.ID]; ok && r.model != m.decl.ID {
			return false
		}
	}
	return true
}

// fit checks the memory of a backend server and chooses what to unload first when there is too little.
func (p *Planner) fit(now time.Time, m *model, c *choice) bool {
	sv := c.sv
	needed := m.decl.Memory + m.reserve()
	c.left = sv.Announcement.Memory - sv.used - sv.reserved - sv.pending - sv.pendingReserve - needed
	if c.left >= 0 {
		return true
	}
	if m.background || needed > sv.Announcement.Memory || sv.pending > 0 {
		return false
	}
	if _, ok := p.reserved[sv.Announcement.ID]; ok {
		c.ready, c.waits = drainTime, true
		return true
	}
	type victim struct {
		index int32
		cost  float64
		freed fleet.Bytes
	}
	var all []victim
	for _, i := range sv.replicas {
		v := p.models[p.view.replicas[i].Model]
		if !p.evictable(now, m, v, i) {
			continue
		}
		freed := p.view.replicas[i].Memory + v.reserve()
		chance := p.warm.ReturnChance(now, v.target(), returnHorizon)
		if v.serving > 1 {
			chance /= float64(v.serving)
		}
		all = append(all, victim{index: i, cost: chance * p.coldCost(v) / float64(max(freed, 1)), freed: freed})
	}
	slices.SortFunc(all, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.index, b.index)) })
	lost := 0.0
	for _, v := range all {
		c.victims = append(c.victims, v.index)
		c.left += v.freed
		lost += v.cost * float64(v.freed)
		if c.left >= 0 {
			// The cost of return is charged as the time that it would be waited for at the same price.
			c.ready = drainTime + time.Duration(lost/p.cfg.WaitCost*float64(time.Second))
			return true
		}
	}
	return false
}

// evictable reports whether a ready replica may give way: no request needs it, and no bound of the operators holds it.
func (p *Planner) evictable(now time.Time, m, v *model, i int32) bool {
	r := &p.view.replicas[i]
	switch {
	case r.State != control.ReplicaReady || v == m || v.demand.Waiting > 0 || v.demand.Running > 0 || v.decl.Pinned > 0:
		return false
	case v.serving <= v.floor():
		return false
	case v.serving <= 1 && m.serving+m.coming > 0:
		// A further replica of one model is worth less than the only one of another.
		return false
	case m.demand.Waiting == 0 && m.decl.Class >= v.decl.Class && v.want >= v.serving:
		return false
	}
	if last, ok := p.warm.Last(v.target()); ok && now.Sub(last) < v.decl.KeepWarmMin {
		return false
	}
	return v.serving > 1 || p.warm.MayIdle(now, v.target())
}

// penalty returns what a place counts as longer than its time to ready.
func (m *model) penalty(sp *spread, sv *server, called bool) time.Duration {
	var out time.Duration
	if n := sp.centres[sv.centre]; n > 0 {
		out += time.Duration(n) * sameCentre
		if sp.inCentres < m.decl.SpreadDataCentres {
			out += unmetSpread
		}
	}
	if sp.regions[sv.region] > 0 && sp.inRegions < m.decl.SpreadRegions {
		out += unmetSpread
	}
	out += time.Duration(sp.racks[sv.rack]) * sameRack
	if called {
		out += time.Duration(float64(farRegion) * (1 - sp.weight[sv.region]))
	}
	return out
}

func (p *Planner) whyNone(m *model) string {
	return fmt.Sprintf("no reachable engine in the allowed regions has %d MiB free; add capacity or lower other bounds",
		(m.decl.Memory+m.reserve())/fleet.MiB)
}

// Unmet returns the operators' bounds that the last round found unmet, ordered by model.
func (p *Planner) Unmet() []UnmetBound { return p.unmet }

func (p *Planner) checkBounds() {
	p.unmet = p.unmet[:0]
	for _, m := range p.order {
		if !m.declared {
			continue
		}
		reason := m.blocked
		switch {
		case reason != "":
		case m.coming > 0:
			reason = "a replica is loading"
		case m.lost > 0:
			reason = "a replica is lost; it is replaced after the hold time"
		case m.atMaximum():
			reason = "the maximum leaves no room to move a replica; raise it"
		default:
			reason = "replicas are unloaded or too few places have engines; add capacity"
		}
		have := m.serving + m.old
		report := func(bound string, want, have int) {
			if have < want {
				p.unmet = append(p.unmet, UnmetBound{Model: m.decl.ID, Bound: bound, Want: want, Have: have, Reason: reason})
			}
		}
		report("minimum", m.decl.Minimum, have)
		report("pinned", m.decl.Pinned, have)
		if m.decl.SpreadDataCentres > 1 || m.decl.SpreadRegions > 1 {
			sp := p.spreadOf(m)
			report("spread-data-centres", min(m.decl.SpreadDataCentres, m.want), sp.inCentres)
			report("spread-regions", min(m.decl.SpreadRegions, m.want), sp.inRegions)
		}
	}
}
