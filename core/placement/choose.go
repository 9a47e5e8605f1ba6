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
	// unloadTime is the expected time until an idle replica is unloaded.
	unloadTime = 3 * time.Second
	// maxReservationAge bounds how long freed memory stays reserved for the model that it was freed for.
	maxReservationAge = 30 * time.Second
	// sameCentrePenalty and sameRackPenalty are added to the time to ready for each replica that is already in the same
	// place, since one failure would take all of them down.
	sameCentrePenalty = 4 * time.Second
	sameRackPenalty   = 2 * time.Second
	// farRegionPenalty, times the fraction of callers in other regions, is added to the time to ready.
	farRegionPenalty = 6 * time.Second
	// unmetSpreadPenalty is longer than any load time; it is added while the operators' spread is not met.
	unmetSpreadPenalty = time.Hour
	// reloadHorizon is the time after an eviction within which a call of the evicted model counts as a cost.
	reloadHorizon = 10 * time.Minute
)

// candidate is a candidate backend server for a load with the expected time until the replica is ready.
type candidate struct {
	sv          *server
	tier        fleet.Tier
	timeToReady time.Duration
	// victims are replicas to unload first; awaitsUnload means that they are being unloaded already.
	victims      []int32
	awaitsUnload bool
	score        time.Duration
	freeAfter    fleet.Bytes
}

// spread counts a model's replicas by region, data centre and rack, each indexed by the numbers in view.
type spread struct {
	regions, centres, racks []int
	// regionCount and centreCount are the numbers of regions and data centres with a replica.
	regionCount, centreCount int
	// callerShare is the fraction of the callers' requests by region.
	callerShare []float64
}

func (p *Planner) spreadOf(m *model) spread {
	v := &p.view
	s := spread{
		regions: make([]int, len(v.regions)), centres: make([]int, len(v.centres)), racks: make([]int, len(v.racks)),
		callerShare: make([]float64, len(v.regions)),
	}
	add := func(id fleet.BackendID) {
		sv := v.server(id)
		if sv == nil {
			return
		}
		if s.regions[sv.region]++; s.regions[sv.region] == 1 {
			s.regionCount++
		}
		if s.centres[sv.centre]++; s.centres[sv.centre] == 1 {
			s.centreCount++
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
			s.callerShare[i] = float64(n) / float64(total)
		}
	}
	return s
}

// chooseServer returns the backend server with the least time to ready, plus penalties for places that already have a replica or
// are far from the callers, and false if there is none. queued is the number of loads queued before this one.
func (p *Planner) chooseServer(now time.Time, m *model, queued int) (candidate, bool) {
	sp := p.spreadOf(m)
	remote := time.Duration(float64(m.loadTime(fleet.TierRemote))*p.budget.Slowdown(now)) +
		p.budget.Wait(now, queued, m.loadTime(fleet.TierRemote))
	hasCallers := len(m.demand.Regions) > 0
	var best candidate
	found, ties := false, 0
	for i := range p.view.servers {
		sv := &p.view.servers[i]
		c := candidate{sv: sv}
		if !p.eligible(m, sv) || !p.fitMemory(now, m, &c) {
			continue
		}
		c.tier = tierOf(sv, m.decl.ID)
		load := remote
		if c.tier != fleet.TierRemote {
			load = m.loadTime(c.tier)
		}
		c.timeToReady += load
		c.score = c.timeToReady + m.penalty(&sp, sv, hasCallers)
		switch {
		case !found || c.score < best.score || c.score == best.score && c.freeAfter < best.freeAfter:
			best, found, ties = c, true, 1
		case c.score == best.score && c.freeAfter == best.freeAfter:
			if ties++; p.rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best, found
}

// eligible reports whether a model may be loaded on a backend server, regardless of free memory.
func (p *Planner) eligible(m *model, sv *server) bool {
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
		if _, ok := p.failed[modelOnBackend{m.decl.ID, a.ID}]; ok {
			return false
		}
	}
	if sv.pending > 0 {
		if _, ok := p.proposed[modelOnBackend{m.decl.ID, a.ID}]; ok {
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

// fitMemory reports whether a backend server has or can free the memory for a model, and selects the replicas to unload
// first if it has too little.
func (p *Planner) fitMemory(now time.Time, m *model, c *candidate) bool {
	sv := c.sv
	needed := m.decl.Memory + m.reservedMemory()
	c.freeAfter = sv.Announcement.Memory - sv.used - sv.reserved - sv.pending - sv.pendingReserve - needed
	if c.freeAfter >= 0 {
		return true
	}
	if m.background || needed > sv.Announcement.Memory || sv.pending > 0 {
		return false
	}
	if _, ok := p.reserved[sv.Announcement.ID]; ok {
		c.timeToReady, c.awaitsUnload = unloadTime, true
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
		freed := p.view.replicas[i].Memory + v.reservedMemory()
		probability := p.warm.CallProbability(now, v.target(), reloadHorizon)
		if v.serving > 1 {
			probability /= float64(v.serving)
		}
		all = append(all, victim{index: i, cost: probability * p.coldCost(v) / float64(max(freed, 1)), freed: freed})
	}
	slices.SortFunc(all, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.index, b.index)) })
	reloadCost := 0.0
	for _, v := range all {
		c.victims = append(c.victims, v.index)
		c.freeAfter += v.freed
		reloadCost += v.cost * float64(v.freed)
		if c.freeAfter >= 0 {
			// The reload cost is converted into waiting time at WaitCost, so that it can be compared with load times.
			c.timeToReady = unloadTime + time.Duration(reloadCost/p.cfg.WaitCost*float64(time.Second))
			return true
		}
	}
	return false
}

// evictable reports whether a ready replica of model v may be unloaded for model m: no request needs it, and no bound of
// the operators requires it.
func (p *Planner) evictable(now time.Time, m, v *model, i int32) bool {
	r := &p.view.replicas[i]
	switch {
	case r.State != control.ReplicaReady || v == m || v.demand.Waiting > 0 || v.demand.Running > 0 || v.decl.Pinned > 0:
		return false
	case v.serving <= v.requiredReplicas():
		return false
	case v.serving <= 1 && m.serving+m.incoming > 0:
		// An additional replica of one model is worth less than the only replica of another.
		return false
	case m.demand.Waiting == 0 && m.decl.Class >= v.decl.Class && v.desired >= v.serving:
		return false
	}
	if last, ok := p.warm.LastCall(v.target()); ok && now.Sub(last) < v.decl.KeepWarmMin {
		return false
	}
	return v.serving > 1 || p.warm.MayUnload(now, v.target())
}

// penalty returns the time that is added to a backend server's time to ready because of its place.
func (m *model) penalty(sp *spread, sv *server, hasCallers bool) time.Duration {
	var out time.Duration
	if n := sp.centres[sv.centre]; n > 0 {
		out += time.Duration(n) * sameCentrePenalty
		if sp.centreCount < m.decl.SpreadDataCentres {
			out += unmetSpreadPenalty
		}
	}
	if sp.regions[sv.region] > 0 && sp.regionCount < m.decl.SpreadRegions {
		out += unmetSpreadPenalty
	}
	out += time.Duration(sp.racks[sv.rack]) * sameRackPenalty
	if hasCallers {
		out += time.Duration(float64(farRegionPenalty) * (1 - sp.callerShare[sv.region]))
	}
	return out
}

func (p *Planner) noServerReason(m *model) string {
	return fmt.Sprintf("no reachable engine in the allowed regions has %d MiB free; add capacity or lower other bounds",
		(m.decl.Memory+m.reservedMemory())/fleet.MiB)
}

// Unmet returns the operators' bounds that the last round found unmet, ordered by model.
func (p *Planner) Unmet() []UnmetBound { return p.unmet }

func (p *Planner) checkBounds() {
	p.unmet = p.unmet[:0]
	for _, m := range p.order {
		if !m.declared {
			continue
		}
		reason := m.blockedReason
		switch {
		case reason != "":
		case m.incoming > 0:
			reason = "a replica is loading"
		case m.lost > 0:
			reason = "a replica is lost; it is replaced unless its backend server is reachable again within the hold time"
		case m.atMaximum():
			reason = "max-replicas leaves no room to move a replica; raise it"
		default:
			reason = "replicas are being unloaded, or too few data centres or regions have engines; add capacity"
		}
		have := m.serving + m.outgoing
		report := func(bound string, want, have int) {
			if have < want {
				p.unmet = append(p.unmet, UnmetBound{Model: m.decl.ID, Bound: bound, Want: want, Have: have, Reason: reason})
			}
		}
		report("minimum", m.decl.Minimum, have)
		report("pinned", m.decl.Pinned, have)
		if m.decl.SpreadDataCentres > 1 || m.decl.SpreadRegions > 1 {
			sp := p.spreadOf(m)
			report("spread-data-centres", min(m.decl.SpreadDataCentres, m.desired), sp.centreCount)
			report("spread-regions", min(m.decl.SpreadRegions, m.desired), sp.regionCount)
		}
	}
}
