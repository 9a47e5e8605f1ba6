package placement

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// view is a copy of what the planner needs of the control state, rebuilt only when the log moved on.
type view struct {
	applied  fleet.Index
	known    bool
	sessions []control.Session
	backends []control.Backend
	servers  []server
	byID     map[fleet.BackendID]int32
	replicas []control.Replica
	// typical is the mean memory of an engine.
	typical fleet.Bytes
	// regions, centres and racks number the places of servers.
	regions map[fleet.Region]int32
	centres map[fleet.DataCentre]int32
	racks   map[fleet.Place]int32
}

// server is one registered engine or plain service.
type server struct {
	*control.Backend
	replicas []int32
	// region, centre and rack are the numbers of its place.
	region, centre, rack int32
	// moving says that a replica is being unloaded, which may push a checkpoint out of the cache.
	moving bool
	// used is the memory of all records; reserved is the memory that their models need beside the weights.
	used     fleet.Bytes
	reserved fleet.Bytes
	// pending is the memory of proposed loads without a record, pendingReserve what they need beside.
	pending        fleet.Bytes
	pendingReserve fleet.Bytes
	cached         []fleet.CachedCheckpoint
}

// order is what the planner remembers of one replica record.
type order struct {
	// sent is when the record was first seen sent; zero before.
	sent time.Time
	// since is when the record was first seen lost or in doubt; zero when it is neither.
	since time.Time
	// loading says that a load may be under way, remote that it takes from the weight store.
	loading bool
	remote  bool
	// inherited says that the record was lost when this planner first saw it, so that a load is only possible.
	inherited bool
	// overrun says that the load took much longer than expected and was reported to the store budget.
	overrun bool
	live    bool
}

// tally counts the records of one model.
type tally struct {
	// serving are ready replicas of the declared version on servers that stay; old are other ready ones.
	serving, old int
	// coming are loads that will serve; lost are replicas held for the hold time.
	coming, lost int
	// lostLong and doubtLong are replicas lost or in doubt for longer than the hold time.
	lostLong, doubtLong int
	unloading           int
	// pending are proposed loads without a record; coming includes them.
	pending int
}

// number returns the number of a place and gives a new one the next number.
func number[K comparable](m map[K]int32, k K) int32 {
	n, ok := m[k]
	if !ok {
		n = int32(len(m))
		m[k] = n
	}
	return n
}

func (v *view) server(id fleet.BackendID) *server {
	i, ok := v.byID[id]
	if !ok {
		return nil
	}
	return &v.servers[i]
}

// refresh copies the state after a change.
func (p *Planner) refresh(s *control.State) {
	v := &p.view
	if v.known && v.applied == s.Applied() {
		return
	}
	v.known, v.applied = true, s.Applied()
	v.sessions, v.backends, v.replicas = s.Sessions(), s.Backends(), s.AllReplicas()
	v.servers = make([]server, len(v.backends))
	v.byID = make(map[fleet.BackendID]int32, len(v.backends))
	v.regions, v.centres, v.racks = map[fleet.Region]int32{}, map[fleet.DataCentre]int32{}, map[fleet.Place]int32{}
	var sum fleet.Bytes
	engines := 0
	for i := range v.backends {
		b := &v.backends[i]
		v.servers[i].Backend = b
		v.byID[b.Announcement.ID] = int32(i)
		pl := b.Announcement.Place
		v.servers[i].region = number(v.regions, pl.Region)
		v.servers[i].centre = number(v.centres, pl.DataCentre)
		v.servers[i].rack = number(v.racks, pl)
		if b.Announcement.Kind == fleet.KindEngine {
			sum += b.Announcement.Memory
			engines++
		}
	}
	v.typical = 0
	if engines > 0 {
		v.typical = sum / fleet.Bytes(engines)
	}
	for id := range p.cached {
		if v.server(id) == nil {
			delete(p.cached, id)
		}
	}
	for _, m := range p.models {
		m.records = m.records[:0]
	}
	for i := range v.replicas {
		r := &v.replicas[i]
		m := p.modelOf(r.Model)
		m.records = append(m.records, int32(i))
		if sv := v.server(r.Backend); sv != nil {
			sv.replicas = append(sv.replicas, int32(i))
			sv.used += r.Memory
			sv.reserved += m.reserve()
		}
		delete(p.proposed, slot{r.Model, r.Backend})
	}
}

// classify tallies the records of each model and counts the loads under way from the store.
func (p *Planner) classify(now time.Time) {
	for i := range p.view.servers {
		sv := &p.view.servers[i]
		sv.pending, sv.pendingReserve = 0, 0
		sv.moving = false
		sv.cached = nil
		if c, ok := p.cached[sv.Announcement.ID]; ok && c.incarnation == sv.Announcement.Incarnation {
			sv.cached = c.checkpoints
		}
	}
	for _, m := range p.order {
		m.tally = tally{}
	}
	for _, o := range p.orders {
		o.live = false
	}
	active, inherited := 0, 0
	for i := range p.view.replicas {
		r := &p.view.replicas[i]
		o := p.orderOf(now, r)
		p.count(now, r, o)
		switch {
		case !o.loading || !o.remote:
		case o.inherited:
			inherited++
		default:
			active++
		}
	}
	// An earlier leader kept the budget too, so no more of the lost replicas than it allows can be loading.
	active += min(inherited, max(0, p.budget.Limit()-active))
	for id, o := range p.orders {
		if !o.live {
			delete(p.orders, id)
		}
	}
	for k, pr := range p.proposed {
		m := p.modelOf(k.model)
		m.pending++
		m.coming++
		if sv := p.view.server(k.backend); sv != nil {
			sv.pending += pr.memory
			sv.pendingReserve += m.reserve()
		}
		if pr.remote {
			active++
		}
	}
	p.budget.SetActive(active)
}

// orderOf returns the memory of a record. A load whose source is unknown counts as one from the store, as all loads do
// after a change of leader.
func (p *Planner) orderOf(now time.Time, r *control.Replica) *order {
	o := p.orders[r.Order]
	if o == nil {
		o = &order{remote: true, loading: r.State == control.ReplicaInDoubt || r.State == control.ReplicaLost}
		o.inherited = r.State == control.ReplicaLost
		if sv := p.view.server(r.Backend); sv != nil && tierOf(sv, r.Model) != fleet.TierRemote {
			o.remote = false
		}
		p.orders[r.Order] = o
	}
	o.live = true
	return o
}

func (p *Planner) count(now time.Time, r *control.Replica, o *order) {
	m := p.models[r.Model]
	switch r.State {
	case control.ReplicaIntended, control.ReplicaSent:
		o.loading, o.since = true, time.Time{}
		m.coming++
		if r.State == control.ReplicaSent && o.sent.IsZero() {
			o.sent = now
		}
		p.watch(now, m, o)
	case control.ReplicaReady:
		o.loading, o.since = false, time.Time{}
		sv := p.view.server(r.Backend)
		if r.Version != m.decl.Version || r.Role != m.decl.Role || sv == nil || sv.Leaving {
			m.old++
		} else {
			m.serving++
		}
	case control.ReplicaInDoubt, control.ReplicaLost:
		if o.since.IsZero() {
			o.since = now
		}
		expected := m.loadTime(fleet.TierRemote)
		if age := now.Sub(o.since); o.inherited && age > 2*expected || age > max(time.Minute, 4*expected) {
			// A load in doubt ends by its order's deadline; the store is not held back by it for longer.
			o.loading = false
		}
		held := now.Sub(o.since) <= p.cfg.HoldTime
		switch {
		case held && r.State == control.ReplicaLost:
			m.lost++
		case held:
			m.coming++
		case r.State == control.ReplicaLost:
			m.lostLong++
		default:
			m.doubtLong++
		}
	case control.ReplicaUnloadIntended, control.ReplicaUnloadSent, control.ReplicaUnloadInDoubt:
		o.loading = false
		m.unloading++
		if sv := p.view.server(r.Backend); sv != nil {
			sv.moving = true
		}
	default:
		panic("placement: replica record in state " + r.State.String())
	}
}

// elapsed returns the time since the order was sent.
func (o *order) elapsed(now time.Time) time.Duration {
	if o.sent.IsZero() {
		return 0
	}
	return now.Sub(o.sent)
}

// watch reports a load that overruns to the store budget before it ends.
func (p *Planner) watch(now time.Time, m *model, o *order) {
	const overrun = 2
	took, expected := o.elapsed(now), m.loadTime(fleet.TierRemote)
	if o.remote && !o.overrun && took > overrun*expected {
		o.overrun = true
		p.budget.Observe(now, took, expected)
	}
}

// tierOf returns the tier of a model's checkpoint near a backend server. While a replica is unloaded there, its checkpoint
// may push out the one that the last inventory named, so that the load has to count as one from the store.
func tierOf(sv *server, id fleet.ModelID) fleet.Tier {
	best := fleet.TierRemote
	if sv.moving {
		return best
	}
	for _, c := range sv.cached {
		if c.Model == id {
			best = min(best, c.Tier)
		}
	}
	return best
}
