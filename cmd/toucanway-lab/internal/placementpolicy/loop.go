package placementpolicy

import (
	"fmt"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
)

const (
	tick = time.Second
	// storeConcurrency is the number of loads from the weight store that run at full speed.
	storeConcurrency = 4
	// memoryCheckpoints and diskCheckpoints bound the checkpoints that an engine caches in memory and on disk.
	memoryCheckpoints = 1
	diskCheckpoints   = 6
)

// loop is one simulation run of one policy, in steps of a tick.
type loop struct {
	sc                scenario
	catalogue         placement.Catalogue
	policy            policy
	start             time.Time
	now               time.Duration
	state             control.State
	index             fleet.Index
	seq               uint64
	requests          []request
	nextRequest       int
	waiting           [][]request
	callsByHost       map[int]map[int]int
	replicas          map[fleet.OrderID]*replica
	cachedCheckpoints map[fleet.BackendID][]fleet.ModelID
	dataCentreLost    bool
	// outages holds the models that have lost all replicas, with the time of the first call since then, or -1 if there was none.
	outages map[int]time.Duration
	measurements
}

// replica is a model on an engine, loading or ready.
type replica struct {
	model   int
	backend fleet.BackendID
	region  fleet.Region
	// remaining is the remaining load time at full speed.
	remaining   time.Duration
	tier        fleet.Tier
	startedAt   time.Duration
	ready       bool
	serviceEnds []time.Duration
}

func placeOf(i int) fleet.Place {
	return fleet.Place{Region: fleet.Region(fmt.Sprintf("r%d", i%3)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%3))}
}

func newLoop(sc scenario, c placement.Catalogue, requests []request, p policy) *loop {
	l := &loop{
		sc: sc, catalogue: c, policy: p, start: time.Unix(1_000_000, 0), requests: requests, waiting: make([][]request, sc.models),
		callsByHost: map[int]map[int]int{}, replicas: map[fleet.OrderID]*replica{}, cachedCheckpoints: map[fleet.BackendID][]fleet.ModelID{},
	}
	l.outages = map[int]time.Duration{}
	for i := range sc.hosts {
		l.apply(&control.OpenSession{Host: fleet.HostID(fmt.Sprintf("h%d", i)), Incarnation: 1, Place: placeOf(i)})
	}
	for i := range sc.engines {
		l.apply(&control.PutBackend{Announcement: l.announcement(i)})
	}
	return l
}

func (l *loop) announcement(i int) fleet.Announcement {
	return fleet.Announcement{ID: fleet.BackendID(fmt.Sprintf("e%02d", i)), Incarnation: 1, Place: placeOf(i), Memory: l.sc.memory, Slots: 8}
}

func (l *loop) apply(c control.Command) control.Result {
	data, err := control.Encode(control.Proposal{Command: c})
	if err != nil {
		panic(err)
	}
	l.index++
	return l.state.Apply(l.index, data)
}

// run simulates the whole length of the scenario.
func (l *loop) run() measurements {
	for ; l.now < l.sc.duration; l.now += tick {
		l.applyFaults()
		l.advanceLoads()
		l.queueArrivals()
		l.serveRequests()
		l.reportDemand()
		starts := 0
		for _, c := range l.policy.Round(l.start.Add(l.now), &l.state) {
			if res := l.apply(c); res.Reason != "" {
				l.rejectedCommands++
			}
		}
		for _, r := range l.state.AllReplicas() {
			starts += l.execute(r)
		}
		l.maxStartsPerTick = max(l.maxStartsPerTick, starts)
	}
	return l.measurements
}

// applyFaults disconnects the engines of one data centre at lossAt and adds them again, restarted, after lossDuration.
func (l *loop) applyFaults() {
	if l.sc.lossAt == 0 {
		return
	}
	if lost := l.now >= l.sc.lossAt && l.now < l.sc.lossAt+l.sc.lossDuration; lost != l.dataCentreLost {
		l.dataCentreLost = lost
		for i := 0; i < l.sc.engines; i += 3 {
			a := l.announcement(i)
			if lost {
				l.loseEngine(a.ID)
				l.apply(&control.RemoveBackend{Backend: a.ID, Incarnation: a.Incarnation})
				continue
			}
			// The engines come back as new incarnations, so that the replica records of the old ones end.
			a.Incarnation++
			l.apply(&control.PutBackend{Announcement: a})
			delete(l.cachedCheckpoints, a.ID)
		}
	}
}

// loseEngine removes the replicas of an engine and records the models that have no ready replica left.
func (l *loop) loseEngine(id fleet.BackendID) {
	for _, o := range sortedKeys(l.replicas) {
		if r := l.replicas[o]; r.backend == id {
			delete(l.replicas, o)
			if r.ready && l.readyReplicas(r.model) == 0 {
				l.outages[r.model] = -1
			}
		}
	}
}

func (l *loop) readyReplicas(m int) int {
	n := 0
	for _, r := range l.replicas {
		if r.model == m && r.ready {
			n++
		}
	}
	return n
}

// advanceLoads advances the loads by one tick. Loads from the store share its bandwidth when there are more than
// storeConcurrency.
func (l *loop) advanceLoads() {
	storeLoads := 0
	for _, r := range l.replicas {
		if !r.ready && r.tier == fleet.TierRemote {
			storeLoads++
		}
	}
	l.maxStoreLoads = max(l.maxStoreLoads, storeLoads)
	if storeLoads > storeConcurrency {
		l.storeOverloaded += tick
	}
	speed := min(1, storeConcurrency/float64(max(storeLoads, 1)))
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
		if r.remaining -= step; r.remaining > 0 {
			continue
		}
		r.ready = true
		if firstCall, ok := l.outages[r.model]; ok {
			if firstCall >= 0 {
				l.restoreTimes = append(l.restoreTimes, l.now-firstCall)
			}
			delete(l.outages, r.model)
		}
		rec, _ := l.state.Replica(id)
		b, _ := l.state.Backend(rec.Backend)
		l.apply(&control.ReportOrder{Order: id, Fence: b.Fence, State: control.ReplicaReady})
		l.policy.ObserveLoad(l.start.Add(l.now), placement.LoadResult{
			Order: id, Model: rec.Model, Backend: rec.Backend, Incarnation: rec.Incarnation, Tier: r.tier, Took: l.now - r.startedAt,
		})
	}
}

// execute executes the intended load or unload of one replica record. It returns 1 when it starts a load from the store.
func (l *loop) execute(rec control.Replica) int {
	b, _ := l.state.Backend(rec.Backend)
	report := func(s control.ReplicaState) {
		l.apply(&control.ReportOrder{Order: rec.Order, Fence: b.Fence, State: s})
	}
	switch rec.State {
	case control.ReplicaIntended:
		report(control.ReplicaSent)
		m := l.modelIndex(rec.Model)
		r := &replica{model: m, backend: rec.Backend, region: b.Announcement.Place.Region, tier: l.tier(rec.Backend, rec.Model), startedAt: l.now}
		r.remaining = l.catalogue.Models[m].LoadTime[r.tier]
		l.replicas[rec.Order] = r
		l.loadCount++
		if r.tier == fleet.TierRemote {
			return 1
		}
	case control.ReplicaUnloadIntended:
		if r := l.replicas[rec.Order]; r == nil || len(r.serviceEnds) == 0 {
			report(control.ReplicaUnloadSent)
			report(control.ReplicaGone)
			delete(l.replicas, rec.Order)
			l.cacheCheckpoint(rec.Backend, rec.Model)
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

// cacheCheckpoint adds an unloaded checkpoint to the engine's LRU cache and reports the engine's inventory to the policy.
func (l *loop) cacheCheckpoint(id fleet.BackendID, model fleet.ModelID) {
	c := []fleet.ModelID{model}
	for _, o := range l.cachedCheckpoints[id] {
		if o != model && len(c) < memoryCheckpoints+diskCheckpoints {
			c = append(c, o)
		}
	}
	l.cachedCheckpoints[id] = c
	b, _ := l.state.Backend(id)
	inv := fleet.Inventory{Backend: id, Incarnation: b.Announcement.Incarnation, Seq: uint64(l.now)}
	for _, o := range c {
		inv.Cached = append(inv.Cached, fleet.CachedCheckpoint{Model: o, Tier: l.tier(id, o)})
	}
	l.policy.ObserveInventory(l.start.Add(l.now), inv)
}

func (l *loop) tier(id fleet.BackendID, m fleet.ModelID) fleet.Tier {
	for i, o := range l.cachedCheckpoints[id] {
		if o == m && i < memoryCheckpoints {
			return fleet.TierMemory
		} else if o == m {
			return fleet.TierDisk
		}
	}
	return fleet.TierRemote
}
