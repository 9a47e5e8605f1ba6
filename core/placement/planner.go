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
	reports *demand.Table
	cached  map[fleet.BackendID]cache
	warm    *warm.Tracker
	budget  *store.Budget
	view    view
	orders  map[fleet.OrderID]*order
	// proposed holds loads whose records did not appear yet.
	proposed map[slot]proposal
	failed   map[slot]time.Time
	// reserved holds backend servers on which replicas are unloaded to make room for a model.
	reserved map[fleet.BackendID]reservation
	unmet    []UnmetBound
}

// slot is one model on one backend server.
type slot struct {
	model   fleet.ModelID
	backend fleet.BackendID
}

// proposal is a load that was proposed and has no record yet.
type proposal struct {
	at     time.Time
	memory fleet.Bytes
	remote bool
}

type reservation struct {
	model fleet.ModelID
	until time.Time
}

// cache is the checkpoints kept near one life of a backend server.
type cache struct {
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
		reports:  demand.New(cfg.DemandAge),
		cached:   map[fleet.BackendID]cache{},
		warm:     warm.New(cfg.Warm),
		orders:   map[fleet.OrderID]*order{},
		proposed: map[slot]proposal{},
		failed:   map[slot]time.Time{},
		reserved: map[fleet.BackendID]reservation{},
	}
	p.setModels(cfg.Catalogue)
	return p
}

// SetCatalogue replaces the declared models after an accepted document.
func (p *Planner) SetCatalogue(_ time.Time, c Catalogue) {
	p.cfg.Catalogue = c
	p.setModels(c)
}

// ObserveInventory takes the cached checkpoints of a backend server from an inventory that its owner read.
func (p *Planner) ObserveInventory(_ time.Time, inv fleet.Inventory) {
	old := p.cached[inv.Backend]
	if inv.Incarnation < old.incarnation || inv.Incarnation == old.incarnation && inv.Seq < old.seq {
		return
	}
	if len(p.cached) >= control.MaxBackends && old.incarnation == 0 {
		return
	}
	p.cached[inv.Backend] = cache{incarnation: inv.Incarnation, seq: inv.Seq, checkpoints: inv.Cached}
}

// ObserveLoad takes the measured time of one load.
func (p *Planner) ObserveLoad(now time.Time, r LoadResult) {
	if r.Failed {
		p.failed[slot{r.Model, r.Backend}] = now
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

// Round returns the commands to propose now, in order. Commands rejected at commit need no report: the next round reads
// the state again.
func (p *Planner) Round(now time.Time, s *control.State) []control.Command {
	if p.budget == nil {
		p.budget = store.New(now, p.cfg.Store)
		p.started = now
	}
	p.now = now
	p.refresh(s)
	p.expire(now)
	p.classify(now)
	p.forget(s)
	out := ownership.Assign(p.view.sessions, p.view.backends, p.busy, p.cfg.OwnerMoves)
	for _, m := range p.order {
		p.decideWant(now, m)
	}
	out = append(out, p.shrink(now)...)
	out = append(out, p.setTargets(s)...)
	out = append(out, p.grow(now)...)
	p.checkBounds()
	return out
}

// busy reports whether an order is under way on a backend server, which a change of owner would put in doubt.
func (p *Planner) busy(id fleet.BackendID) bool {
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

// expire forgets what is too old to count.
func (p *Planner) expire(now time.Time) {
	p.reports.Expire(now)
	for k, v := range p.proposed {
		if now.Sub(v.at) > p.cfg.ProposalAge {
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
