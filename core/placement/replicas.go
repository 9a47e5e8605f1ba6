package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// shrink unloads replicas above what is wanted and those that a ready replacement makes superfluous.
func (p *Planner) shrink(time.Time) []control.Command {
	var out []control.Command
	for _, m := range p.order {
		m.surge = 0
		if m.want > 0 && (m.old > 0 || p.misplaced(m)) {
			m.surge = 1
		}
		// Replicas on the way out serve until their replacements are ready, unless the maximum leaves no room for those.
		ready := m.serving + m.old - m.want
		if m.old > 0 && m.old+m.serving > 1 && m.atMaximum() && m.serving+m.coming < m.want {
			ready = max(ready, 1)
		}
		unsent := m.serving + m.coming + m.lost - m.want
		for _, id := range p.removable(m, max(ready, 0), max(unsent, 0)) {
			p.markMoving(m, id)
			out = append(out, &control.DecideUnload{Order: id})
		}
	}
	return out
}

// misplaced reports whether the ready replicas cover fewer places than the operators want although engines stand in
// others. One more replica is then loaded there, after which the most crowded data centre loses one.
func (p *Planner) misplaced(m *model) bool {
	if m.decl.SpreadDataCentres <= 1 && m.decl.SpreadRegions <= 1 || m.serving < m.want {
		return false
	}
	var ready, possible places
	for _, i := range m.records {
		if r := &p.view.replicas[i]; r.State == control.ReplicaReady {
			ready.add(p.view.server(r.Backend))
		}
	}
	centres, regions := min(m.decl.SpreadDataCentres, m.want), min(m.decl.SpreadRegions, m.want)
	if len(ready.centres) >= centres && len(ready.regions) >= regions {
		return false
	}
	for i := range p.view.servers {
		if sv := &p.view.servers[i]; p.usable(m, sv) {
			possible.add(sv)
		}
	}
	possible.addAll(&ready)
	return len(ready.centres) < min(centres, len(possible.centres)) || len(ready.regions) < min(regions, len(possible.regions))
}

// places is a set of data centres and regions by number.
type places struct{ centres, regions map[int32]bool }

func (p *places) add(sv *server) {
	if sv == nil {
		return
	}
	if p.centres == nil {
		p.centres, p.regions = map[int32]bool{}, map[int32]bool{}
	}
	p.centres[sv.centre], p.regions[sv.region] = true, true
}

func (p *places) addAll(o *places) {
	if p.centres == nil {
		p.centres, p.regions = map[int32]bool{}, map[int32]bool{}
	}
	maps.Copy(p.centres, o.centres)
	maps.Copy(p.regions, o.regions)
}

// markMoving marks the backend server of an order that is unloaded.
func (p *Planner) markMoving(m *model, id fleet.OrderID) {
	for _, i := range m.records {
		if r := &p.view.replicas[i]; r.Order == id {
			if sv := p.view.server(r.Backend); sv != nil {
				sv.moving = true
			}
		}
	}
}

// atMaximum reports that a replacement beside the replicas on record would exceed the operators' maximum. A model with
// a maximum of one has to exceed it by one while it is replaced, or else it would not serve meanwhile.
func (m *model) atMaximum() bool {
	return m.decl.Maximum > 1 && m.serving+m.old+m.coming+m.unloading >= m.decl.Maximum
}

// removable returns orders to unload: up to unsent loads that were not sent yet, and up to ready replicas, first those on
// leaving servers or of other versions, then those in the most crowded data centre.
func (p *Planner) removable(m *model, ready, unsent int) []fleet.OrderID {
	if ready == 0 && unsent == 0 {
		return nil
	}
	type choice struct {
		id           fleet.OrderID
		group, crowd int
	}
	var out []fleet.OrderID
	var all []choice
	crowd := map[fleet.DataCentre]int{}
	centre := func(r *control.Replica) fleet.DataCentre {
		if sv := p.view.server(r.Backend); sv != nil {
			return sv.Announcement.Place.DataCentre
		}
		return ""
	}
	for _, i := range m.records {
		if r := &p.view.replicas[i]; r.State == control.ReplicaReady {
			crowd[centre(r)]++
		}
	}
	for _, i := range slices.Backward(m.records) {
		r := &p.view.replicas[i]
		if r.State == control.ReplicaIntended && len(out) < unsent {
			out = append(out, r.Order)
		}
		if r.State != control.ReplicaReady {
			continue
		}
		c := choice{id: r.Order, group: 3, crowd: crowd[centre(r)]}
		if sv := p.view.server(r.Backend); sv != nil && sv.Leaving {
			c.group = 1
		} else if r.Version != m.decl.Version || r.Role != m.decl.Role {
			c.group = 2
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.crowd, a.crowd), cmp.Compare(b.id, a.id))
	})
	for _, c := range all[:min(ready, len(all))] {
		out = append(out, c.id)
	}
	return out
}

// setTargets keeps the decided number of replicas at what is wanted. Lost replicas count for the hold time; after that
// the target rises by them. Replicas being unloaded or in doubt for longer than the hold time are replaced within the
// operators' maximum.
func (p *Planner) setTargets(s *control.State) []control.Command {
	var out []control.Command
	for _, m := range p.order {
		t := m.want
		if t > 0 {
			t = min(t+m.doubtLong, max(t, m.decl.Maximum)) + m.lostLong + m.unloading + m.surgeAllowed()
		}
		t = min(t, control.MaxReplicasPerModel)
		if t != s.Target(m.decl.ID) {
			out = append(out, &control.SetTarget{Model: m.decl.ID, Count: t})
		}
	}
	return out
}

func (m *model) surgeAllowed() int {
	if m.atMaximum() {
		return 0
	}
	return m.surge
}

// deficit returns how many loads to decide now. Replicas that are replaced serve on and are replaced one at a time.
func (m *model) deficit() int {
	room := m.decl.Maximum - m.serving - m.old - m.coming - m.unloading - m.doubtLong
	if m.decl.Maximum == 1 {
		room += m.surge
	}
	return max(0, min(room, m.want+m.surgeAllowed()-m.old-m.serving-m.coming-m.lost))
}

// need is one replica to load.
type need struct {
	m     *model
	class fleet.Class
	// step orders needs of one class: no replica serves, a bound is unmet, more are useful.
	step     int
	deadline time.Duration
	// value is the waiting relieved per second and byte.
	value float64
}

// maxLoads bounds the loads that one round decides and maxChoices the searches for a backend server, so that a round
// after the loss of a data centre stays short.
const (
	maxLoads   = 16
	maxChoices = 32
)

// needs lists the replicas to load, most urgent first.
func (p *Planner) needs() []need {
	var out []need
	for _, m := range p.order {
		for k := range min(m.deficit(), maxLoads) {
			out = append(out, m.need(k))
		}
	}
	slices.SortStableFunc(out, func(a, b need) int {
		return cmp.Or(compareBool(a.m.background, b.m.background), cmp.Compare(a.class, b.class), cmp.Compare(a.step, b.step),
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

// need describes the kth replica that a model lacks.
func (m *model) need(k int) need {
	const noDeadline = time.Hour
	n := need{m: m, class: m.decl.Class, step: 2, deadline: noDeadline}
	have := m.serving + m.old + m.coming + k
	if m.demand.Waiting > 0 {
		n.class = min(m.demand.Class, fleet.ClassBatch)
		if m.demand.Earliest > 0 {
			n.deadline = m.demand.Earliest
		}
	}
	switch {
	case have == 0:
		n.step = 0
	case have < m.floor():
		n.step = 1
	}
	load := m.loadTime(fleet.TierRemote).Seconds()
	n.value = float64(m.demand.Waiting) / float64(have+1) / load / float64(max(m.decl.Memory, 1))
	return n
}

// grow decides loads in order of need within the store budget.
func (p *Planner) grow(now time.Time) []control.Command {
	var out []control.Command
	loads, searches, ahead := 0, 0, 0
	for _, n := range p.needs() {
		m := n.m
		if loads >= maxLoads || searches >= maxChoices {
			m.blocked = "many loads are decided at once; the next rounds continue"
			continue
		}
		if m.blocked != "" {
			continue
		}
		searches++
		c, ok := p.choose(now, m, ahead)
		m.estimated, m.estimateOK, m.estimate = true, ok, c.ready
		if !ok {
			m.blocked = p.whyNone(m)
			continue
		}
		if len(c.victims) > 0 {
			out = append(out, p.evict(now, m, c)...)
			m.blocked = "room is made on a backend server"
			continue
		}
		if c.waits {
			m.blocked = "room is made on a backend server"
			continue
		}
		if c.tier == fleet.TierRemote && !p.budget.Admit(now, m.background) {
			ahead++
			m.blocked = "the weight store's budget is used up; the load is queued"
			if !m.background {
				out = append(out, p.interrupt()...)
			}
			continue
		}
		out = append(out, p.load(now, m, c))
		loads++
	}
	return out
}

// load decides one load and counts it until its record appears.
func (p *Planner) load(now time.Time, m *model, c choice) control.Command {
	a := &c.sv.Announcement
	p.proposed[slot{m.decl.ID, a.ID}] = proposal{at: now, memory: m.decl.Memory, remote: c.tier == fleet.TierRemote}
	delete(p.reserved, a.ID)
	c.sv.pending += m.decl.Memory
	c.sv.pendingReserve += m.reserve()
	m.coming++
	m.pending++
	return &control.DecideLoad{
		Model: m.decl.ID, Version: m.decl.Version, Role: m.decl.Role, Backend: a.ID, Incarnation: a.Incarnation,
		Memory: m.decl.Memory, Reserve: c.sv.reserved + c.sv.pendingReserve,
	}
}

// interrupt drops one load ahead of need that was not sent yet, so that a waiting request gets its place in the store's
// queue in the next round.
func (p *Planner) interrupt() []control.Command {
	for _, m := range p.order {
		if !m.background {
			continue
		}
		for _, i := range m.records {
			if r := &p.view.replicas[i]; r.State == control.ReplicaIntended {
				m.want = m.floor()
				return []control.Command{&control.DecideUnload{Order: r.Order}}
			}
		}
	}
	return nil
}

// evict unloads idle replicas to make room and keeps the room for the model.
func (p *Planner) evict(now time.Time, m *model, c choice) []control.Command {
	p.reserved[c.sv.Announcement.ID] = reservation{model: m.decl.ID, until: now.Add(reservationAge)}
	c.sv.moving = true
	var out []control.Command
	for _, i := range c.victims {
		r := &p.view.replicas[i]
		v := p.models[r.Model]
		v.serving--
		if v.want > v.serving {
			v.want = max(v.serving, v.floor())
			v.held = v.want
			v.evicted = true
			if v.want == 0 {
				p.warm.Idled(now, v.target())
			}
		}
		out = append(out, &control.DecideUnload{Order: r.Order})
	}
	return out
}
