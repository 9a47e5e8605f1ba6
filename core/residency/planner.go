package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

// Defaults of Settings.
const (
	// DefaultConcurrentStoreLoads is the number of concurrent loads from the weight store until the first one has shown how many
	// the store serves at full speed.
	DefaultConcurrentStoreLoads = 3
	DefaultStoreWindow          = 5 * time.Second
	// DefaultStoreShare is the share of the weight store's rate that is used, so that loads that start late don't exceed the
	// rate.
	DefaultStoreShare = 0.7
	// DefaultRequestsPerReplica is the number of requests in flight per replica above which a model gets another replica, if the
	// configuration doesn't tell how many an engine can hold, and DefaultPromptRatePerReplica the number of prompt tokens per
	// second per replica.
	DefaultRequestsPerReplica   = 10
	DefaultPromptRatePerReplica = 12000.0
)

// Settings configure a Planner; zero fields mean the defaults.
type Settings struct {
	ConcurrentStoreLoads int
	StoreWindow          time.Duration
	StoreShare           float64
	RequestsPerReplica   int
	PromptRatePerReplica float64
}

// Planner decides on orders. It is not safe for concurrent use.
type Planner struct {
	cfg     Settings
	table   *routes.Table
	sizes   modelSizes
	engines map[fleet.BackendID]*engine
	// ids caches the sorted ids of all engines; nil after an engine was added or removed.
	ids     []fleet.BackendID
	demands map[demandKey]*demand
	// waitingAt lists the targets that requests of a host wait for, so that its next report doesn't have to visit all targets.
	waitingAt map[fleet.HostID][]demandKey
	bound     boundRequests
	// idleGoalsSetAt is the time of the last search for models without a replica.
	idleGoalsSetAt time.Time
	// replicaCounts holds the last count of the replicas of each model.
	replicaCounts map[demandKey]replicaCount
	// smoothedLoads holds the smoothed number of requests in flight for each model.
	smoothedLoads map[demandKey]smoothedLoad
	// storeLoads holds the start times of the loads from the weight store within StoreWindow.
	storeLoads []time.Time
	store      storeSpeed
	// storeTaken is the number of engines that load from the weight store or are about to, storeRate the largest StoreRate of a
	// service; both are from the last planning pass.
	storeTaken int
	storeRate  float64
}

// New returns a planner without engines.
func New(cfg Settings) *Planner {
	cfg.ConcurrentStoreLoads = cmp.Or(cfg.ConcurrentStoreLoads, DefaultConcurrentStoreLoads)
	cfg.StoreWindow = cmp.Or(cfg.StoreWindow, DefaultStoreWindow)
	cfg.StoreShare = cmp.Or(cfg.StoreShare, DefaultStoreShare)
	cfg.RequestsPerReplica = cmp.Or(cfg.RequestsPerReplica, DefaultRequestsPerReplica)
	cfg.PromptRatePerReplica = cmp.Or(cfg.PromptRatePerReplica, DefaultPromptRatePerReplica)
	return &Planner{
		cfg: cfg, sizes: modelSizes{}, engines: map[fleet.BackendID]*engine{}, demands: map[demandKey]*demand{},
		waitingAt:     map[fleet.HostID][]demandKey{},
		smoothedLoads: map[demandKey]smoothedLoad{}, store: storeSpeed{limit: cfg.ConcurrentStoreLoads},
	}
}

// Configure applies a configuration. Leaders call it before each planning pass, mostly with the same one, so that the sizes of models are read
// from a new one only.
func (p *Planner) Configure(t *routes.Table) {
	isNew := p.table != t
	p.table = t
	if isNew {
		p.sizes.declare(t.Configuration, p.holds)
	}
	for _, e := range p.engines {
		e.spec = p.engineSpec(e.Service)
		if !isNew {
			continue
		}
		for name, h := range e.models {
			p.setSize(e, name, h)
		}
	}
}

func (p *Planner) engineSpec(s fleet.ServiceID) *routes.Engine {
	if p.table == nil {
		return nil
	}
	if svc := p.table.Configuration.Service(s); svc != nil {
		return svc.Engine
	}
	return nil
}

// Observe updates the planner from an instance's record in the registry and the instance's last heartbeat.
func (p *Planner) Observe(now time.Time, in registry.Instance, beat registry.Heartbeat) {
	e := p.engines[in.ID]
	if in.State == registry.Gone {
		delete(p.engines, in.ID)
		p.ids = nil
		return
	}
	if e == nil || e.Incarnation != in.Incarnation {
		if !beat.Engine {
			return
		}
		e = &engine{Instance: in, spec: p.engineSpec(in.Service), models: map[fleet.ModelID]*modelState{}}
		p.replaceModels(now, e, beat.Instance.Models)
		p.engines[in.ID] = e
		p.ids = nil
	}
	e.Instance = in
	if beat.Engine {
		e.setWeightCopies(beat.InMemory, beat.OnDisk)
		p.completePending(now, e, beat.Instance.Models)
		if !e.stateKnown && e.pending == nil && !e.callInFlight {
			// Only the engine's own report shows the effect of orders that another host has sent.
			p.replaceModels(now, e, beat.Instance.Models)
		}
		e.checkReportedModels(beat.Instance.Models)
	}
}

// checkReportedModels marks the engine as in doubt when several heartbeats in a row report other models than expected: either the
// engine has carried out an order that was given up, or it has dropped an accepted one.
func (e *engine) checkReportedModels(models []registry.Model) {
	if e.pending != nil || e.callInFlight || !e.stateKnown {
		e.mismatches = 0
		return
	}
	same := len(models) == len(e.models)
	for _, m := range models {
		same = same && e.models[m.Name] != nil
	}
	if same {
		e.mismatches = 0
		return
	}
	if e.mismatches++; e.mismatches >= mismatchesUntilDoubt {
		e.stateKnown, e.mismatches = false, 0
	}
}

// mismatchesUntilDoubt is the number of differing heartbeats in a row that put an engine in doubt. A single one may have been
// sent before an order was carried out.
const mismatchesUntilDoubt = 2

func (e *engine) setWeightCopies(memory, disk []fleet.ModelID) {
	e.inMemory, e.onDisk = map[fleet.ModelID]bool{}, map[fleet.ModelID]bool{}
	for _, m := range memory {
		e.inMemory[m] = true
	}
	for _, m := range disk {
		e.onDisk[m] = true
	}
}

// completePending completes the pending order once the models that the engine reports show its effect.
func (p *Planner) completePending(now time.Time, e *engine, models []registry.Model) {
	if e.pending == nil {
		return
	}
	i := slices.IndexFunc(models, func(m registry.Model) bool { return m.Name == e.pending.Target.Model })
	h := e.models[e.pending.Target.Model]
	switch e.pending.Kind {
	case fleet.OrderLoad:
		if i < 0 {
			return
		}
		if h != nil {
			h.phase, h.version, h.loadedAt = loaded, models[i].Version, now
		}
		if m := p.table.Model(e.Service, e.pending.Target.Model); m != nil && e.pending.FromStore {
			p.store.observe(now.Sub(e.pendingAt), m.StoreLoad, e.storeLoadsAtStart, e.storeLoadsAtOnce)
		}
	case fleet.OrderUnload:
		if i >= 0 {
			return
		}
		delete(e.models, e.pending.Target.Model)
	}
	e.pending = nil
}

// ServingModels returns the models and adapters of an engine that are ready for requests, and false if the engine isn't known.
func (p *Planner) ServingModels(now time.Time, id fleet.BackendID) ([]registry.Model, bool) {
	e := p.engines[id]
	if e == nil {
		return nil, false
	}
	return e.servingModels(now), true
}

// Engines returns the ids of all engines, sorted; the slice must not be changed.
func (p *Planner) Engines() []fleet.BackendID {
	if p.ids == nil {
		p.ids = slices.Sorted(maps.Keys(p.engines))
	}
	return p.ids
}
