package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// unloadSurplus unloads replicas above the desired number and those that have a ready replacement.
func (p *Planner) unloadSurplus(time.Time) []control.Command {
	var out []control.Command
	for _, m := range p.order {
		m.surge = 0
		if m.desired > 0 && (m.outgoing > 0 || p.canImproveSpread(m)) {
			m.surge = 1
		}
		// Outgoing replicas serve until their replacements are ready, unless the maximum leaves no room for replacements.
		ready := m.serving + m.outgoing - m.desired
		if m.outgoing > 0 && m.outgoing+m.serving > 1 && m.atMaximum() && m.serving+m.incoming < m.desired {
			ready = max(ready, 1)
		}
		unsent := m.serving + m.incoming + m.lost - m.desired
		for _, id := range p.selectUnloads(m, max(ready, 0), max(unsent, 0)) {
			p.markUnloading(m, id)
			out = append(out, &control.DecideUnload{Order: id})
		}
	}
	return out
}

// canImproveSpread reports whether the ready replicas cover fewer places than the operators require although other places
// have engines. One more replica is then loaded there, after which one is unloaded in the data centre with the most
// replicas.
func (p *Planner) canImproveSpread(m *model) bool {
	if m.decl.SpreadDataCentres <= 1 && m.decl.SpreadRegions <= 1 || m.serving < m.desired {
		return false
	}
	var ready, possible placeSet
	for _, i := range m.records {
		if r := &p.view.replicas[i]; r.State == control.ReplicaReady {
			ready.add(p.view.server(r.Backend))
		}
	}
	centres, regions := min(m.decl.SpreadDataCentres, m.desired), min(m.decl.SpreadRegions, m.desired)
	if len(ready.centres) >= centres && len(ready.regions) >= regions {
		return false
	}
	for i := range p.view.servers {
		if sv := &p.view.servers[i]; p.eligible(m, sv) {
			possible.add(sv)
		}
	}
	possible.addAll(&ready)
	return len(ready.centres) < min(centres, len(possible.centres)) || len(ready.regions) < min(regions, len(possible.regions))
}

// placeSet is a set of data centres and regions by number.
type placeSet struct{ centres, regions map[int32]bool }

func (p *placeSet) add(sv *server) {
	if sv == nil {
		return
	}
	if p.centres == nil {
		p.centres, p.regions = map[int32]bool{}, map[int32]bool{}
	}
	p.centres[sv.centre], p.regions[sv.region] = true, true
}

func (p *placeSet) addAll(o *placeSet) {
	if p.centres == nil {
		p.centres, p.regions = map[int32]bool{}, map[int32]bool{}
	}
	maps.Copy(p.centres, o.centres)
	maps.Copy(p.regions, o.regions)
}

// markUnloading marks the backend server of a replica that is going to be unloaded.
func (p *Planner) markUnloading(m *model, id fleet.OrderID) {
	for _, i := range m.records {
		if r := &p.view.replicas[i]; r.Order == id {
			if sv := p.view.server(r.Backend); sv != nil {
				sv.unloadInProgress = true
			}
		}
	}
}

// atMaximum reports whether a replacement beside the recorded replicas would exceed the operators' maximum. A model with
// a maximum of one has to exceed it by one during a replacement, or else it would be unavailable meanwhile.
func (m *model) atMaximum() bool {
	return m.decl.Maximum > 1 && m.serving+m.outgoing+m.incoming+m.unloading >= m.decl.Maximum
}

// selectUnloads returns the orders to unload: up to maxUnsent loads that were not sent yet, and up to maxReady ready replicas.
// Ready replicas on leaving servers come first, then those of other versions or roles, then those in the data centre with the
// most replicas.
func (p *Planner) selectUnloads(m *model, maxReady, maxUnsent int) []fleet.OrderID {
	if maxReady == 0 && maxUnsent == 0 {
		return nil
	}
	type unloadCandidate struct {
		id                fleet.OrderID
		group, sameCentre int
	}
	var out []fleet.OrderID
	var all []unloadCandidate
	perCentre := map[fleet.DataCentre]int{}
	centre := func(r *control.Replica) fleet.DataCentre {
		if sv := p.view.server(r.Backend); sv != nil {
			return sv.Announcement.Place.DataCentre
		}
		return ""
	}
	for _, i := range m.records {
		if r := &p.view.replicas[i]; r.State == control.ReplicaReady {
			perCentre[centre(r)]++
		}
	}
	for _, i := range slices.Backward(m.records) {
		r := &p.view.replicas[i]
		if r.State == control.ReplicaIntended && len(out) < maxUnsent {
			out = append(out, r.Order)
		}
		if r.State != control.ReplicaReady {
			continue
		}
		c := unloadCandidate{id: r.Order, group: 3, sameCentre: perCentre[centre(r)]}
		if sv := p.view.server(r.Backend); sv != nil && sv.Leaving {
			c.group = 1
		} else if r.Version != m.decl.Version || r.Role != m.decl.Role {
			c.group = 2
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b unloadCandidate) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.sameCentre, a.sameCentre), cmp.Compare(b.id, a.id))
	})
	for _, c := range all[:min(maxReady, len(all))] {
		out = append(out, c.id)
	}
	return out
}

// setTargets proposes the targets that follow from the desired numbers of replicas. Lost replicas count towards the target
// for the hold time; after that the target rises by their number. Replicas that are being unloaded, or in doubt for longer
// than the hold time, are replaced within the operators' maximum.
func (p *Planner) setTargets(s *control.State) []control.Command {
	var out []control.Command
	for _, m := range p.order {
		t := m.desired
		if t > 0 {
			t = min(t+m.doubtExpired, max(t, m.decl.Maximum)) + m.lostExpired + m.unloading + m.allowedSurge()
		}
		t = min(t, control.MaxReplicasPerModel)
		if t != s.ReplicaTarget(m.decl.ID) {
			out = append(out, &control.SetReplicaTarget{Model: m.decl.ID, Count: t})
		}
	}
	return out
}

func (m *model) allowedSurge() int {
	if m.atMaximum() {
		return 0
	}
	return m.surge
}

// missingReplicas returns how many loads to decide now. Outgoing replicas continue to serve and are replaced one at a
// time.
func (m *model) missingReplicas() int {
	room := m.decl.Maximum - m.serving - m.outgoing - m.incoming - m.unloading - m.doubtExpired
	if m.decl.Maximum == 1 {
		room += m.surge
	}
	return max(0, min(room, m.desired+m.allowedSurge()-m.outgoing-m.serving-m.incoming-m.lost))
}

// loadNeed is one replica to load.
type loadNeed struct {
	m     *model
	class fleet.Class
	// rank orders the needs of one class: 0 if the model has no replica, 1 if a bound is unmet, else 2.
	rank     int
	deadline time.Duration
	// value is the number of waiting requests per replica, divided by the load time in seconds and by the bytes to load.
	value float64
}

// maxLoads bounds the loads that one round decides, and maxSearches its searches for a backend server, so that a round
// after the loss of a data centre stays short.
const (
	maxLoads    = 16
	maxSearches = 32
)

// loadNeeds lists the replicas to load, most urgent first.
func (p *Planner) loadNeeds() []loadNeed {
	var out []loadNeed
	for _, m := range p.order {
		for k := range min(m.missingReplicas(), maxLoads) {
			out = append(out, m.newLoadNeed(k))
		}
	}
	slices.SortStableFunc(out, func(a, b loadNeed) int {
		return cmp.Or(compareBool(a.m.background, b.m.background), cmp.Compare(a.class, b.class), cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.deadline, b.deadline), cmp.Compare(b.value, a.value))
	})
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// newLoadNeed returns the need for the kth missing replica of a model, counted from 0.
func (m *model) newLoadNeed(k int) loadNeed {
	const noDeadline = time.Hour
	n := loadNeed{m: m, class: m.decl.Class, rank: 2, deadline: noDeadline}
	have := m.serving + m.outgoing + m.incoming + k
	if m.demand.Waiting > 0 {
		n.class = min(m.demand.Class, fleet.ClassBatch)
		if m.demand.TimeToDeadline > 0 {
			n.deadline = m.demand.TimeToDeadline
		}
	}
	switch {
	case have == 0:
		n.rank = 0
	case have < m.requiredReplicas():
		n.rank = 1
	}
	load := m.loadTime(fleet.TierRemote).Seconds()
	n.value = float64(m.demand.Waiting) / float64(have+1) / load / float64(max(m.decl.Memory, 1))
	return n
}

// loadMissing decides loads in the order of loadNeeds within the store budget.
func (p *Planner) loadMissing(now time.Time) []control.Command {
	var out []control.Command
	loads, searches, queued := 0, 0, 0
	for _, n := range p.loadNeeds() {
		m := n.m
		if loads >= maxLoads || searches >= maxSearches {
			m.blockedReason = "the limit of loads decided in one planning round is reached; the next rounds decide the rest"
			continue
		}
		if m.blockedReason != "" {
			continue
		}
		searches++
		c, ok := p.chooseServer(now, m, queued)
		m.estimated, m.estimateOK, m.estimate = true, ok, c.timeToReady
		if !ok {
			m.blockedReason = p.noServerReason(m)
			continue
		}
		if len(c.victims) > 0 {
			out = append(out, p.evict(now, m, c)...)
			m.blockedReason = "memory is being freed on a backend server"
			continue
		}
		if c.awaitsUnload {
			m.blockedReason = "memory is being freed on a backend server"
			continue
		}
		if c.tier == fleet.TierRemote && !p.budget.Admit(now, m.background) {
			queued++
			m.blockedReason = "the weight store's budget is used up; the load is queued"
			if !m.background {
				out = append(out, p.cancelBackgroundLoad()...)
			}
			continue
		}
		out = append(out, p.decideLoad(now, m, c))
		loads++
	}
	return out
}

// decideLoad decides one load and counts it as a proposal until its record appears.
func (p *Planner) decideLoad(now time.Time, m *model, c candidate) control.Command {
	a := &c.sv.Announcement
	p.proposed[modelOnBackend{m.decl.ID, a.ID}] = proposal{proposedAt: now, memory: m.decl.Memory, remote: c.tier == fleet.TierRemote}
	delete(p.reserved, a.ID)
	c.sv.pending += m.decl.Memory
	c.sv.pendingReserve += m.reservedMemory()
	m.incoming++
	m.pending++
	return &control.DecideLoad{
		Model: m.decl.ID, Version: m.decl.Version, Role: m.decl.Role, Backend: a.ID, Incarnation: a.Incarnation,
		Memory: m.decl.Memory, Reserve: c.sv.reserved + c.sv.pendingReserve,
	}
}

// cancelBackgroundLoad drops one background load that was not sent yet, so that a load for a waiting request can use its
// place in the store budget in the next round.
func (p *Planner) cancelBackgroundLoad() []control.Command {
	for _, m := range p.order {
		if !m.background {
			continue
		}
		for _, i := range m.records {
			if r := &p.view.replicas[i]; r.State == control.ReplicaIntended {
				m.desired = m.requiredReplicas()
				return []control.Command{&control.DecideUnload{Order: r.Order}}
			}
		}
	}
	return nil
}

// evict unloads the victims on a candidate server and reserves the freed memory for the model.
func (p *Planner) evict(now time.Time, m *model, c candidate) []control.Command {
	p.reserved[c.sv.Announcement.ID] = reservation{model: m.decl.ID, until: now.Add(maxReservationAge)}
	c.sv.unloadInProgress = true
	var out []control.Command
	for _, i := range c.victims {
		r := &p.view.replicas[i]
		v := p.models[r.Model]
		v.serving--
		if v.desired > v.serving {
			v.desired = max(v.serving, v.requiredReplicas())
			v.currentNeed = v.desired
			v.evicted = true
			if v.desired == 0 {
				p.warm.ObserveUnload(now, v.target())
			}
		}
		out = append(out, &control.DecideUnload{Order: r.Order})
	}
	return out
}
