package placement

import (
	"math/rand/v2"
	"time"

	"toucanway/core/control"
	"toucanway/core/demand"
	"toucanway/core/fleet"
	"toucanway/core/ownership"
	"toucanway/core/store"
	"toucanway/core/warm"
)

// Planner proposes replica targets, loads, unloads and capacity owners. It is not safe for concurrent use. A new leader
// starts with a new Planner.
type Planner struct {
	cfg Settings
	rng *rand.Rand
	now time.Time
	// started is the time of the first round.
	started time.Time
	models  map[fleet.ModelID]*model
	order   []*model
	demand  *demand.Table
	caches  map[fleet.BackendID]checkpointCache
	warm    *warm.Tracker
	budget  *store.Budget
	view    view
	orders  map[fleet.OrderID]*order
	// proposed holds loads that have no record in the control state yet; failed holds the times of failed loads.
	proposed map[modelOnBackend]proposal
	failed   map[modelOnBackend]time.Time
	// reserved holds backend servers on which replicas are unloaded to free memory for a model.
	reserved map[fleet.BackendID]reservation
	unmet    []UnmetBound
}

type modelOnBackend struct {
	model   fleet.ModelID
	backend fleet.BackendID
}

// proposal is a proposed load that has no record in the control state yet.
type proposal struct {
	proposedAt time.Time
	memory     fleet.Bytes
	remote     bool
}

type reservation struct {
	model fleet.ModelID
	until time.Time
}

// checkpointCache lists the checkpoints cached near one incarnation of a backend server.
type checkpointCache struct {
	incarnation fleet.Incarnation
	seq         uint64
	checkpoints []fleet.CachedCheckpoint
}

// New returns a planner without observations.
func New(cfg Settings) *Planner {
	cfg.setDefaults()
	p := &Planner{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		models:   map[fleet.ModelID]*model{},
		demand:   demand.New(cfg.MaxDemandAge),
		caches:   map[fleet.BackendID]checkpointCache{},
		warm:     warm.New(cfg.Warm),
		orders:   map[fleet.OrderID]*order{},
		proposed: map[modelOnBackend]proposal{},
		failed:   map[modelOnBackend]time.Time{},
		reserved: map[fleet.BackendID]reservation{},
	}
	p.setModels(cfg.Catalogue)
	return p
}

// SetCatalogue replaces the declared models after a new configuration document has been accepted.
func (p *Planner) SetCatalogue(_ time.Time, c Catalogue) {
	p.cfg.Catalogue = c
	p.setModels(c)
}

// ObserveInventory records the cached checkpoints of a backend server from an inventory that its owner read.
func (p *Planner) ObserveInventory(_ time.Time, inv fleet.Inventory) {
	old := p.caches[inv.Backend]
	if inv.Incarnation < old.incarnation || inv.Incarnation == old.incarnation && inv.Seq < old.seq {
		return
	}
	if len(p.caches) >= control.MaxBackends && old.incarnation == 0 {
		return
	}
	p.caches[inv.Backend] = checkpointCache{incarnation: inv.Incarnation, seq: inv.Seq, checkpoints: inv.Cached}
}

// ObserveLoad records the outcome and measured time of one load.
func (p *Planner) ObserveLoad(now time.Time, r LoadResult) {
	if r.Failed {
		p.failed[modelOnBackend{r.Model, r.Backend}] = now
		return
	}
	m := p.models[r.Model]
	if m == nil || r.Tier < fleet.TierMemory || r.Tier > fleet.TierRemote {
		return
	}
	took := r.Took
	if r.Tier == fleet.TierRemote && p.budget != nil {
		p.budget.Observe(now, took, m.loadTime(r.Tier))
		took = time.Duration(float64(took) / p.budget.Slowdown(now))
	}
	m.observeLoad(r.Tier, took)
}

// Round returns the commands to propose now, in order. Commands that are rejected at commit need not be reported: the next
// round reads the state again.
func (p *Planner) Round(now time.Time, s *control.State) []control.Command {
	if p.budget == nil {
		p.budget = store.New(now, p.cfg.Store)
		p.started = now
	}
	p.now = now
	p.refresh(s)
	p.expire(now)
	p.countReplicas(now)
	p.dropUndeclared(s)
	out := ownership.Assign(p.view.sessions, p.view.backends, p.hasOpenOrder, p.cfg.OwnerMoves)
	for _, m := range p.order {
		p.updateDesired(now, m)
	}
	out = append(out, p.unloadSurplus(now)...)
	out = append(out, p.setTargets(s)...)
	out = append(out, p.loadMissing(now)...)
	p.checkBounds()
	return out
}

// hasOpenOrder reports whether an order is in flight to a backend server; a change of owner would put it in doubt.
func (p *Planner) hasOpenOrder(id fleet.BackendID) bool {
	sv := p.view.server(id)
	if sv == nil {
		return false
	}
	for _, r := range sv.replicas {
		switch p.view.replicas[r].State {
		case control.ReplicaSent, control.ReplicaUnloadSent, control.ReplicaIntended, control.ReplicaUnloadIntended:
			return true
		}
	}
	return false
}

// expire drops old demand reports, proposals, load failures and reservations.
func (p *Planner) expire(now time.Time) {
	p.demand.Expire(now)
	for k, v := range p.proposed {
		if now.Sub(v.proposedAt) > p.cfg.MaxProposalAge {
			delete(p.proposed, k)
		}
	}
	for k, at := range p.failed {
		if now.Sub(at) > p.cfg.RetryDelay {
			delete(p.failed, k)
		}
	}
	for k, r := range p.reserved {
		if now.After(r.until) {
			delete(p.reserved, k)
		}
	}
}
