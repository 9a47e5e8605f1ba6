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
	// DefaultStoreConcurrent is the number of loads from the weight store at once.
	DefaultStoreConcurrent = 4
	DefaultStoreWindow     = 5 * time.Second
	// DefaultStoreShare is the share of the weight store's rate that is used, so that loads that start late don't exceed it.
	DefaultStoreShare = 0.7
	// DefaultCopyLoad is the number of requests under way for each replica above which a model gets another one, and
	// DefaultCopyPrompt that of prompt tokens a second.
	DefaultCopyLoad   = 10
	DefaultCopyPrompt = 12000.0
)

// Settings configure a Planner; zero fields mean the defaults.
type Settings struct {
	StoreConcurrent int
	StoreWindow     time.Duration
	StoreShare      float64
	CopyLoad        int
	CopyPrompt      float64
}

// Planner decides on orders. It is not safe for concurrent use.
type Planner struct {
	cfg     Settings
	table   *routes.Table
	engines map[fleet.BackendID]*engine
	// ids are the ids of all engines, sorted; nil after engines came or went.
	ids     []fleet.BackendID
	demands map[demandKey]*demand
	// filled is when models without a replica were last looked for.
	filled time.Time
	// tallies are the replicas of each model as counted last.
	tallies map[demandKey]tally
	// levels are the requests under way for each model, smoothed.
	levels map[demandKey]level
	// stored are the times of the latest loads from the weight store.
	stored []time.Time
}

// New returns a planner without engines.
func New(cfg Settings) *Planner {
	cfg.StoreConcurrent = cmp.Or(cfg.StoreConcurrent, DefaultStoreConcurrent)
	cfg.StoreWindow = cmp.Or(cfg.StoreWindow, DefaultStoreWindow)
	cfg.StoreShare = cmp.Or(cfg.StoreShare, DefaultStoreShare)
	cfg.CopyLoad = cmp.Or(cfg.CopyLoad, DefaultCopyLoad)
	cfg.CopyPrompt = cmp.Or(cfg.CopyPrompt, DefaultCopyPrompt)
	return &Planner{cfg: cfg, engines: map[fleet.BackendID]*engine{}, demands: map[demandKey]*demand{}, levels: map[demandKey]level{}}
}

// Configure puts a configuration in force.
func (p *Planner) Configure(t *routes.Table) {
	p.table = t
	for _, e := range p.engines {
		e.spec = p.spec(e.Service)
		for name, h := range e.models {
			if m := t.Model(e.Service, name); m != nil {
				h.weights, h.adapter = m.Weights, m.Adapter
			}
		}
	}
}

func (p *Planner) spec(s fleet.ServiceID) *routes.Engine {
	if p.table == nil {
		return nil
	}
	if svc := p.table.Configuration.Service(s); svc != nil {
		return svc.Engine
	}
	return nil
}

func (p *Planner) specs(s fleet.ServiceID) modelSpecs {
	return func(m fleet.ModelID) *routes.Model {
		if p.table == nil {
			return nil
		}
		return p.table.Model(s, m)
	}
}

// Observe takes in an instance's record and its last heartbeat.
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
		e = &engine{Instance: in, spec: p.spec(in.Service), models: map[fleet.ModelID]*holding{}}
		e.take(now, p.specs(in.Service), beat.Instance.Models)
		p.engines[in.ID] = e
		p.ids = nil
	}
	e.Instance = in
	if beat.Engine {
		e.copies(beat.InMemory, beat.OnDisk)
		p.settle(now, e, beat.Instance.Models)
		if !e.known && e.pending == nil && !e.calling {
			// What another host has ordered before is told by the engine only.
			e.take(now, p.specs(e.Service), beat.Instance.Models)
		}
		e.compare(beat.Instance.Models)
	}
}

// compare puts the engine in doubt when it keeps telling of other models than it should hold: an order that was given up was
// carried out after all, or one that was accepted was dropped.
func (e *engine) compare(models []registry.Model) {
	if e.pending != nil || e.calling || !e.known {
		e.differing = 0
		return
	}
	same := len(models) == len(e.models)
	for _, m := range models {
		same = same && e.models[m.Name] != nil
	}
	if same {
		e.differing = 0
		return
	}
	if e.differing++; e.differing >= differingBeats {
		e.known, e.differing = false, 0
	}
}

// differingBeats is the number of heartbeats in a row that must differ, since one may be older than an order.
const differingBeats = 2

func (e *engine) copies(memory, disk []fleet.ModelID) {
	e.inMemory, e.onDisk = map[fleet.ModelID]bool{}, map[fleet.ModelID]bool{}
	for _, m := range memory {
		e.inMemory[m] = true
	}
	for _, m := range disk {
		e.onDisk[m] = true
	}
}

// settle ends the order for a model that an account of the engine shows to be done.
func (p *Planner) settle(now time.Time, e *engine, models []registry.Model) {
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
			h.phase, h.version, h.since = held, models[i].Version, now
		}
	case fleet.OrderUnload:
		if i >= 0 {
			return
		}
		delete(e.models, e.pending.Target.Model)
	}
	e.pending = nil
}

// Published returns the models and adapters of an engine that take requests, and false if the engine isn't known.
func (p *Planner) Published(now time.Time, id fleet.BackendID) ([]registry.Model, bool) {
	e := p.engines[id]
	if e == nil {
		return nil, false
	}
	return e.published(now), true
}

// Engines returns the ids of all engines, sorted; the slice must not be changed.
func (p *Planner) Engines() []fleet.BackendID {
	if p.ids == nil {
		p.ids = slices.Sorted(maps.Keys(p.engines))
	}
	return p.ids
}
