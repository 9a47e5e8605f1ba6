package placementpolicy

import (
	"fmt"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
)

const (
	tick         = time.Second
	storeAtOnce  = 4
	memoryCopies = 1
	diskCopies   = 6
)

// loop is one run of one policy.
type loop struct {
	sc        scenario
	catalogue placement.Catalogue
	policy    policy
	start     time.Time
	now       time.Duration
	state     control.State
	index     fleet.Index
	seq       uint64
	requests  []request
	next      int
	waiting   [][]request
	calls     map[int]map[int]int
	replicas  map[fleet.OrderID]*replica
	cache     map[fleet.BackendID][]fleet.ModelID
	cut       bool
	// outage holds models that lost all replicas, with the time of the first call since, or -1.
	outage map[int]time.Duration
	figures
}

// replica is a model on an engine, loading or ready.
type replica struct {
	model   int
	backend fleet.BackendID
	region  fleet.Region
	// left is the load time that remains at full speed.
	left    time.Duration
	tier    fleet.Tier
	began   time.Duration
	ready   bool
	running []time.Duration
}

func place(i int) fleet.Place {
	return fleet.Place{Region: fleet.Region(fmt.Sprintf("r%d", i%3)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%3))}
}

func newLoop(sc scenario, c placement.Catalogue, requests []request, p policy) *loop {
	l := &loop{
		sc: sc, catalogue: c, policy: p, start: time.Unix(1_000_000, 0), requests: requests, waiting: make([][]request, sc.models),
		calls: map[int]map[int]int{}, replicas: map[fleet.OrderID]*replica{}, cache: map[fleet.BackendID][]fleet.ModelID{},
	}
	l.outage = map[int]time.Duration{}
	for i := range sc.hosts {
		l.apply(&control.OpenSession{Host: fleet.HostID(fmt.Sprintf("h%d", i)), Incarnation: 1, Place: place(i)})
	}
	for i := range sc.engines {
		l.apply(&control.PutBackend{Announcement: l.engine(i)})
	}
	return l
}

func (l *loop) engine(i int) fleet.Announcement {
	return fleet.Announcement{ID: fleet.BackendID(fmt.Sprintf("e%02d", i)), Incarnation: 1, Place: place(i), Memory: l.sc.memory, Slots: 8}
}

func (l *loop) apply(c control.Command) control.Result {
	data, err := control.Encode(control.Proposal{Command: c})
	if err != nil {
		panic(err)
	}
	l.index++
	return l.state.Apply(l.index, data)
}

// run passes the whole time in ticks.
func (l *loop) run() figures {
	for ; l.now < l.sc.length; l.now += tick {
		l.faults()
		l.loads()
		l.arrive()
		l.serve()
		l.report()
		starts := 0
		for _, c := range l.policy.Round(l.start.Add(l.now), &l.state) {
			if res := l.apply(c); res.Reason != "" {
				l.rejected++
			}
		}
		for _, r := range l.state.AllReplicas() {
			starts += l.carryOut(r)
		}
		l.maxStarts = max(l.maxStarts, starts)
	}
	return l.figures
}

// faults cuts off one data centre and returns it.
func (l *loop) faults() {
	if l.sc.lossAt == 0 {
		return
	}
	if cut := l.now >= l.sc.lossAt && l.now < l.sc.lossAt+l.sc.lossFor; cut != l.cut {
		l.cut = cut
		for i := 0; i < l.sc.engines; i += 3 {
			a := l.engine(i)
			if cut {
				l.lose(a.ID)
				l.apply(&control.RemoveBackend{Backend: a.ID, Incarnation: a.Incarnation})
				continue
			}
			// The engines were restarted, so that their records end.
			a.Incarnation++
			l.apply(&control.PutBackend{Announcement: a})
			delete(l.cache, a.ID)
		}
	}
}

// lose ends the replicas of an engine; what ran there is sent again.
func (l *loop) lose(id fleet.BackendID) {
	for _, o := range sortedKeys(l.replicas) {
		if r := l.replicas[o]; r.backend == id {
			delete(l.replicas, o)
			if r.ready && l.readyOf(r.model) == 0 {
				l.outage[r.model] = -1
			}
		}
	}
}

func (l *loop) readyOf(m int) int {
	n := 0
	for _, r := range l.replicas {
		if r.model == m && r.ready {
			n++
		}
	}
	return n
}

// loads advances loads; those from the store share its speed once there are more than four.
func (l *loop) loads() {
	remote := 0
	for _, r := range l.replicas {
		if !r.ready && r.tier == fleet.TierRemote {
			remote++
		}
	}
	l.maxStore = max(l.maxStore, remote)
	if remote > storeAtOnce {
		l.overStore += tick
	}
	speed := min(1, storeAtOnce/float64(max(remote, 1)))
	if l.sc.slowAt > 0 && l.now >= l.sc.slowAt && l.now < l.sc.slowAt+30*time.Minute {
		speed /= 3
	}
	for _, id := range sortedKeys(l.replicas) {
		r := l.replicas[id]
		if r.ready {
			continue
		}
		step := tick
		if r.tier == fleet.TierRemote {
			step = time.Duration(float64(tick) * speed)
		}
		if r.left -= step; r.left > 0 {
			continue
		}
		r.ready = true
		if at, ok := l.outage[r.model]; ok {
			if at >= 0 {
				l.restored = append(l.restored, l.now-at)
			}
			delete(l.outage, r.model)
		}
		rec, _ := l.state.Replica(id)
		b, _ := l.state.Backend(rec.Backend)
		l.apply(&control.ReportOrder{Order: id, Fence: b.Fence, State: control.ReplicaReady})
		l.policy.ObserveLoad(l.start.Add(l.now), placement.LoadResult{
			Order: id, Model: rec.Model, Backend: rec.Backend, Incarnation: rec.Incarnation, Tier: r.tier, Took: l.now - r.began,
		})
	}
}

// carryOut sends the order of one record and returns 1 when it begins a load from the store.
func (l *loop) carryOut(rec control.Replica) int {
	b, _ := l.state.Backend(rec.Backend)
	report := func(s control.ReplicaState) {
		l.apply(&control.ReportOrder{Order: rec.Order, Fence: b.Fence, State: s})
	}
	switch rec.State {
	case control.ReplicaIntended:
		report(control.ReplicaSent)
		m := l.modelIndex(rec.Model)
		r := &replica{model: m, backend: rec.Backend, region: b.Announcement.Place.Region, tier: l.tier(rec.Backend, rec.Model), began: l.now}
		r.left = l.catalogue.Models[m].LoadTime[r.tier]
		l.replicas[rec.Order] = r
		l.loadCount++
		if r.tier == fleet.TierRemote {
			return 1
		}
	case control.ReplicaUnloadIntended:
		if r := l.replicas[rec.Order]; r == nil || len(r.running) == 0 {
			report(control.ReplicaUnloadSent)
			report(control.ReplicaGone)
			delete(l.replicas, rec.Order)
			l.keep(rec.Backend, rec.Model)
		}
	}
	return 0
}

func (l *loop) modelIndex(id fleet.ModelID) int {
	var i int
	if _, err := fmt.Sscanf(string(id), "m%d", &i); err != nil {
		panic(err)
	}
	return i
}

// keep puts an unloaded checkpoint in the engine's cache and tells the policy.
func (l *loop) keep(id fleet.BackendID, m fleet.ModelID) {
	c := []fleet.ModelID{m}
	for _, o := range l.cache[id] {
		if o != m && len(c) < memoryCopies+diskCopies {
			c = append(c, o)
		}
	}
	l.cache[id] = c
	b, _ := l.state.Backend(id)
	inv := fleet.Inventory{Backend: id, Incarnation: b.Announcement.Incarnation, Seq: uint64(l.now)}
	for _, o := range c {
		inv.Cached = append(inv.Cached, fleet.CachedCheckpoint{Model: o, Tier: l.tier(id, o)})
	}
	l.policy.ObserveInventory(l.start.Add(l.now), inv)
}

func (l *loop) tier(id fleet.BackendID, m fleet.ModelID) fleet.Tier {
	for i, o := range l.cache[id] {
		if o == m && i < memoryCopies {
			return fleet.TierMemory
		} else if o == m {
			return fleet.TierDisk
		}
	}
	return fleet.TierRemote
}
