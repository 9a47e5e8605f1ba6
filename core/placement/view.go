package placement

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// view is a copy of the part of the control state that the planner needs. It is rebuilt only when the applied log index has
// changed.
type view struct {
	applied  fleet.Index
	filled   bool
	sessions []control.Session
	backends []control.Backend
	servers  []server
	byID     map[fleet.BackendID]int32
	replicas []control.Replica
	// meanMemory is the mean memory of an engine.
	meanMemory fleet.Bytes
	// regions, centres and racks assign consecutive numbers to the places of servers.
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
	// unloadInProgress means that a replica is being unloaded, which may evict a checkpoint from the server's cache.
	unloadInProgress bool
	// used is the memory of the weights in all records; reserved is the memory that their models need beside the weights.
	used     fleet.Bytes
	reserved fleet.Bytes
	// pending is the memory of the weights in proposed loads without a record; pendingReserve is the memory that they need
	// beside the weights.
	pending        fleet.Bytes
	pendingReserve fleet.Bytes
	cached         []fleet.CachedCheckpoint
}

// order is the planner's state of one replica record.
type order struct {
	// sent is when the record was first seen sent; zero before.
	sent time.Time
	// unavailableSince is when the record was first seen lost or in doubt; zero when it is neither.
	unavailableSince time.Time
	// loading means that a load may be in progress, fromStore that it reads from the weight store.
	loading   bool
	fromStore bool
	// inherited means that the record was lost when this planner first saw it, so that it is unknown whether a load is in
	// progress.
	inherited bool
	// overrun means that the load took much longer than expected and was reported to the store budget.
	overrun bool
	// hasRecord means that the record still exists.
	hasRecord bool
}

// replicaCounts holds the numbers of a model's replicas by state.
type replicaCounts struct {
	// serving counts ready replicas of the declared version and role on servers that are not leaving; outgoing counts the
	// other ready ones, which are to be replaced.
	serving, outgoing int
	// incoming counts loads that are proposed, decided, sent or recently in doubt; lost counts replicas lost for no longer
	// than the hold time.
	incoming, lost int
	// lostExpired and doubtExpired count replicas lost or in doubt for longer than the hold time.
	lostExpired, doubtExpired int
	unloading                 int
	// pending counts proposed loads without a record; incoming includes them.
	pending int
}

// placeNumber returns the number of a place; a new place gets the next number.
func placeNumber[K comparable](m map[K]int32, k K) int32 {
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

// refresh rebuilds the view if the control state has changed.
func (p *Planner) refresh(s *control.State) {
	v := &p.view
	if v.filled && v.applied == s.Applied() {
		return
	}
	v.filled, v.applied = true, s.Applied()
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
		v.servers[i].region = placeNumber(v.regions, pl.Region)
		v.servers[i].centre = placeNumber(v.centres, pl.DataCentre)
		v.servers[i].rack = placeNumber(v.racks, pl)
		if b.Announcement.Kind == fleet.KindEngine {
			sum += b.Announcement.Memory
			engines++
		}
	}
	v.meanMemory = 0
	if engines > 0 {
		v.meanMemory = sum / fleet.Bytes(engines)
	}
	for id := range p.caches {
		if v.server(id) == nil {
			delete(p.caches, id)
		}
	}
	for _, m := range p.models {
		m.records = m.records[:0]
	}
	for i := range v.replicas {
		r := &v.replicas[i]
		m := p.ensureModel(r.Model)
		m.records = append(m.records, int32(i))
		if sv := v.server(r.Backend); sv != nil {
			sv.replicas = append(sv.replicas, int32(i))
			sv.used += r.Memory
			sv.reserved += m.reservedMemory()
		}
		delete(p.proposed, modelOnBackend{r.Model, r.Backend})
	}
}

// countReplicas counts the records of each model by state and sets the number of loads in flight in the store budget.
func (p *Planner) countReplicas(now time.Time) {
	for i := range p.view.servers {
		sv := &p.view.servers[i]
		sv.pending, sv.pendingReserve = 0, 0
		sv.unloadInProgress = false
		sv.cached = nil
		if c, ok := p.caches[sv.Announcement.ID]; ok && c.incarnation == sv.Announcement.Incarnation {
			sv.cached = c.checkpoints
		}
	}
	for _, m := range p.order {
		m.replicaCounts = replicaCounts{}
	}
	for _, o := range p.orders {
		o.hasRecord = false
	}
	active, inherited := 0, 0
	for i := range p.view.replicas {
		r := &p.view.replicas[i]
		o := p.orderOf(now, r)
		p.countReplica(now, r, o)
		switch {
		case !o.loading || !o.fromStore:
		case o.inherited:
			inherited++
		default:
			active++
		}
	}
	// The previous leader kept to the same budget, so no more lost replicas than the budget allows can be loading.
	active += min(inherited, max(0, p.budget.Limit()-active))
	for id, o := range p.orders {
		if !o.hasRecord {
			delete(p.orders, id)
		}
	}
	for k, pr := range p.proposed {
		m := p.ensureModel(k.model)
		m.pending++
		m.incoming++
		if sv := p.view.server(k.backend); sv != nil {
			sv.pending += pr.memory
			sv.pendingReserve += m.reservedMemory()
		}
		if pr.remote {
			active++
		}
	}
	p.budget.SetActive(active)
}

// orderOf returns the planner's state of a record. A load whose tier is unknown counts as one from the store, as all loads
// do after a change of leader.
func (p *Planner) orderOf(now time.Time, r *control.Replica) *order {
	o := p.orders[r.Order]
	if o == nil {
		o = &order{fromStore: true, loading: r.State == control.ReplicaInDoubt || r.State == control.ReplicaLost}
		o.inherited = r.State == control.ReplicaLost
		if sv := p.view.server(r.Backend); sv != nil && tierOf(sv, r.Model) != fleet.TierRemote {
			o.fromStore = false
		}
		p.orders[r.Order] = o
	}
	o.hasRecord = true
	return o
}

func (p *Planner) countReplica(now time.Time, r *control.Replica, o *order) {
	m := p.models[r.Model]
	switch r.State {
	case control.ReplicaIntended, control.ReplicaSent:
		o.loading, o.unavailableSince = true, time.Time{}
		m.incoming++
		if r.State == control.ReplicaSent && o.sent.IsZero() {
			o.sent = now
		}
		p.reportOverrun(now, m, o)
	case control.ReplicaReady:
		o.loading, o.unavailableSince = false, time.Time{}
		sv := p.view.server(r.Backend)
		if r.Version != m.decl.Version || r.Role != m.decl.Role || sv == nil || sv.Leaving {
			m.outgoing++
		} else {
			m.serving++
		}
	case control.ReplicaInDoubt, control.ReplicaLost:
		if o.unavailableSince.IsZero() {
			o.unavailableSince = now
		}
		expected := m.loadTime(fleet.TierRemote)
		if age := now.Sub(o.unavailableSince); o.inherited && age > 2*expected || age > max(time.Minute, 4*expected) {
			// A load in doubt ends by its order's deadline and uses no store budget after that.
			o.loading = false
		}
		withinHoldTime := now.Sub(o.unavailableSince) <= p.cfg.HoldTime
		switch {
		case withinHoldTime && r.State == control.ReplicaLost:
			m.lost++
		case withinHoldTime:
			m.incoming++
		case r.State == control.ReplicaLost:
			m.lostExpired++
		default:
			m.doubtExpired++
		}
	case control.ReplicaUnloadIntended, control.ReplicaUnloadSent, control.ReplicaUnloadInDoubt:
		o.loading = false
		m.unloading++
		if sv := p.view.server(r.Backend); sv != nil {
			sv.unloadInProgress = true
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

// reportOverrun reports to the store budget, before a load ends, that it takes much longer than expected.
func (p *Planner) reportOverrun(now time.Time, m *model, o *order) {
	const overrun = 2
	took, expected := o.elapsed(now), m.loadTime(fleet.TierRemote)
	if o.fromStore && !o.overrun && took > overrun*expected {
		o.overrun = true
		p.budget.Observe(now, took, expected)
	}
}

// tierOf returns the fastest tier that holds a model's checkpoint near a backend server. While a replica is unloaded there,
// its checkpoint may evict the one listed in the last inventory, so that the load counts as one from the store.
func tierOf(sv *server, id fleet.ModelID) fleet.Tier {
	best := fleet.TierRemote
	if sv.unloadInProgress {
		return best
	}
	for _, c := range sv.cached {
		if c.Model == id {
			best = min(best, c.Tier)
		}
	}
	return best
}
