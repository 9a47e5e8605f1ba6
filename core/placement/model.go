package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/demand"
	"toucanway/core/fleet"
	"toucanway/core/warm"
)

// defaultLoadTime is the load time by tier of a model that declares none.
var defaultLoadTime = [3]time.Duration{5 * time.Second, 20 * time.Second, time.Minute}

const (
	// targetUse is the share of a model's slots that steady demand may take.
	targetUse = 0.75
	// shrinkMin and shrinkMax bound the time after which one unneeded replica is removed; within them it is twice the
	// load time, since demand swings within seconds and a replica removed too early costs another load.
	shrinkMin = 30 * time.Second
	shrinkMax = 45 * time.Second
	// smoothMin and smoothMax bound the span over which running requests are averaged, which is one load from disk.
	smoothMin = 5 * time.Second
	smoothMax = time.Minute
)

// model is what the planner knows of one model.
type model struct {
	decl     Model
	declared bool
	// learnt holds measured load times by tier at the store's full speed; 0 means none.
	learnt  [3]time.Duration
	demand  *demand.Model
	records []int32
	tally
	// want is the number of replicas to serve with; background says that no request needs the last of them yet.
	want       int
	background bool
	held       int
	heldAt     time.Time
	// evicted says that the last replica gave way to another model and that no call came since.
	evicted bool
	// burst is the usual number of requests that wait at a cold start.
	burst float64
	// surge is the number of replicas above want while replicas are replaced.
	surge int
	// blocked is why the last round could not load a replica that is wanted.
	blocked string
	// estimate is the time to ready of the best choice of this round.
	estimate   time.Duration
	estimated  bool
	estimateOK bool
}

// setModels keeps what was learnt of models that stay declared. Others stay known until their replicas are gone.
func (p *Planner) setModels(c Catalogue) {
	for _, m := range p.models {
		m.declared = false
	}
	for _, d := range c.Models {
		m := p.modelOf(d.ID)
		m.declared = true
		m.decl = d
		if m.decl.Slots <= 0 {
			m.decl.Slots = DefaultSlots
		}
		if m.decl.ContextTokens <= 0 {
			m.decl.ContextTokens = DefaultContext
		}
		if m.decl.Maximum <= 0 || m.decl.Maximum > control.MaxReplicasPerModel {
			m.decl.Maximum = control.MaxReplicasPerModel
		}
	}
}

// forget drops models that are no longer declared once their replicas and targets are gone.
func (p *Planner) forget(s *control.State) {
	p.order = slices.DeleteFunc(p.order, func(m *model) bool {
		gone := !m.declared && len(m.records) == 0 && m.pending == 0 && s.Target(m.decl.ID) == 0
		if gone {
			delete(p.models, m.decl.ID)
			p.reports.Forget(m.decl.ID)
		}
		return gone
	})
}

// modelOf returns the entry of a model and makes one that nobody declared when there is none.
func (p *Planner) modelOf(id fleet.ModelID) *model {
	if m := p.models[id]; m != nil {
		return m
	}
	m := &model{decl: Model{ID: id, Slots: DefaultSlots}, burst: 1, demand: p.reports.Declare(id)}
	p.models[id] = m
	i, _ := slices.BinarySearchFunc(p.order, id, func(m *model, id fleet.ModelID) int { return cmp.Compare(m.decl.ID, id) })
	p.order = slices.Insert(p.order, i, m)
	return m
}

func (m *model) loadTime(t fleet.Tier) time.Duration {
	if m.learnt[t] > 0 {
		return m.learnt[t]
	}
	if m.decl.LoadTime[t] > 0 {
		return m.decl.LoadTime[t]
	}
	return defaultLoadTime[t]
}

func (m *model) observeLoad(t fleet.Tier, took time.Duration) {
	const weight = 0.2
	m.learnt[t] = time.Duration(float64(m.loadTime(t))*(1-weight) + float64(took)*weight)
}

// reserve is the memory that a replica needs beside its weights.
func (m *model) reserve() fleet.Bytes {
	return m.decl.KVPerToken*fleet.Bytes(m.decl.ContextTokens) + m.decl.AdapterMemory
}

func (m *model) floor() int { return min(max(m.decl.Minimum, m.decl.Pinned), m.decl.Maximum) }

func (m *model) target() fleet.Target { return fleet.Target{Model: m.decl.ID} }

// costs weighs a replica's share of a backend server against the waiting that a cold start causes.
func (p *Planner) costs(m *model) warm.Costs {
	share := 1.0
	if p.view.typical > 0 {
		share = min(1, float64(m.decl.Memory+m.reserve())/float64(p.view.typical))
	}
	load := m.loadTime(fleet.TierRemote)
	return warm.Costs{IdleHour: p.cfg.IdleHourCost * share, Cold: p.coldCost(m), Load: load}
}

func (p *Planner) coldCost(m *model) float64 {
	return p.cfg.WaitCost * m.loadTime(fleet.TierRemote).Seconds() * max(1, m.burst)
}

// decideWant sets the number of replicas to serve with from demand, the operators' bounds and the time since the last
// call.
func (p *Planner) decideWant(now time.Time, m *model) {
	m.blocked = ""
	m.estimated = false
	if !m.declared {
		m.want, m.held, m.background = 0, 0, false
		return
	}
	m.demand.Update(now, min(max(m.loadTime(fleet.TierDisk), smoothMin), smoothMax))
	need := 0
	if m.demand.Active() {
		need = max(1, m.steady(), m.backlog())
		if m.demand.Alone > 0 {
			// A request suspected of crashes needs a replica that is not the model's last one.
			need = max(need, 2)
		}
		m.evicted = false
		if m.demand.Waiting > 0 && m.serving == 0 {
			m.burst = max(m.burst, 0.5*m.burst+0.5*float64(m.demand.Waiting))
		}
	}
	if need >= m.held {
		m.held, m.heldAt = need, now
	} else if hold := min(max(2*m.loadTime(fleet.TierRemote), shrinkMin), shrinkMax); now.Sub(m.heldAt) > hold {
		m.held, m.heldAt = max(need, m.held-1), now
	}
	want := m.held
	if want <= 1 && !m.demand.Active() {
		want = p.idleWant(now, m)
	}
	want = min(max(want, m.floor()), m.decl.Maximum)
	if want == 0 && m.want > 0 {
		if !p.warm.MayIdle(now, m.target()) {
			want = m.want
		} else {
			p.warm.Idled(now, m.target())
			m.burst = max(1, 0.9*m.burst)
		}
	}
	m.want = want
	m.background = !m.demand.Active() && m.serving+m.old == 0 && want > m.floor()
}

// idleWant returns 1 when an idle model is worth keeping or loading ahead of its next call, else 0.
func (p *Planner) idleWant(now time.Time, m *model) int {
	last, called := p.warm.Last(m.target())
	loaded := m.serving+m.coming > 0
	if !called {
		// After a change of leader nothing is known of a loaded model, so it is kept for the fixed time.
		if loaded && now.Sub(p.started) < warm.DefaultFixed {
			return 1
		}
		return 0
	}
	idle := now.Sub(last)
	if m.decl.KeepWarmMax > 0 && idle > m.decl.KeepWarmMax {
		return 0
	}
	if idle < m.decl.KeepWarmMin && loaded {
		return 1
	}
	c := p.costs(m)
	if loaded && !m.evicted && p.warm.Keep(now, m.target(), c) {
		return 1
	}
	if p.warm.Ahead(now, m.target(), c) {
		return 1
	}
	return 0
}

// steady returns the replicas that carry the present rate of requests.
func (m *model) steady() int {
	return int(math.Ceil(m.demand.Busy / (float64(m.decl.Slots) * targetUse)))
}

// backlog returns the replicas that work off the waiting requests within one load time or the earliest deadline; more
// would come too late to relieve anyone.
func (m *model) backlog() int {
	if m.demand.Waiting == 0 {
		return 0
	}
	within := m.loadTime(fleet.TierRemote)
	if m.demand.Earliest > 0 {
		within = min(within, m.demand.Earliest)
	}
	within = max(within, time.Second)
	work := float64(m.demand.Waiting) * m.demand.Service().Seconds()
	return int(math.Ceil(work / (float64(m.decl.Slots) * within.Seconds())))
}
