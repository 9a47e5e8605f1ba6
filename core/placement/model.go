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

// defaultLoadTime holds the load times by tier of a model that declares none.
var defaultLoadTime = [3]time.Duration{5 * time.Second, 20 * time.Second, time.Minute}

const (
	// targetUtilisation is the fraction of a model's slots that the average demand may occupy.
	targetUtilisation = 0.75
	// minShrinkDelay and maxShrinkDelay bound the time after which one unneeded replica is removed. Within them the delay
	// is twice the load time, since demand varies within seconds and a replica removed too early costs another load.
	minShrinkDelay = 30 * time.Second
	maxShrinkDelay = 45 * time.Second
	// minSmoothing and maxSmoothing bound the time over which running requests are averaged, which is the time of one load
	// from disk.
	minSmoothing = 5 * time.Second
	maxSmoothing = time.Minute
)

// model is the planner's state of one model.
type model struct {
	decl     Model
	declared bool
	// measuredLoad holds the measured load times by tier at the store's full speed; 0 means none.
	measuredLoad [3]time.Duration
	demand       *demand.Model
	records      []int32
	replicaCounts
	// desired is the number of replicas that should serve; background means that no request needs the last of them yet.
	// currentNeed is the number that demand requires, lowered only after a delay since currentNeedAt.
	desired       int
	background    bool
	currentNeed   int
	currentNeedAt time.Time
	// evicted means that the last replica was evicted for another model and that no request has come since.
	evicted bool
	// coldStartWaiters is the usual number of requests that wait at a cold start.
	coldStartWaiters float64
	// surge is the number of replicas above desired while replicas are replaced.
	surge int
	// blockedReason is why the last round could not load a desired replica; empty if it could.
	blockedReason string
	// estimate is the time until a replica would be ready on the best backend server of this round. estimated means that it
	// was computed in this round, estimateOK that a backend server was found.
	estimate   time.Duration
	estimated  bool
	estimateOK bool
}

// setModels replaces the declarations and keeps the measurements of models that stay declared. Other models are kept until
// their replicas are gone.
func (p *Planner) setModels(c Catalogue) {
	for _, m := range p.models {
		m.declared = false
	}
	for _, d := range c.Models {
		m := p.ensureModel(d.ID)
		m.declared = true
		m.decl = d
		if m.decl.Slots <= 0 {
			m.decl.Slots = DefaultSlots
		}
		if m.decl.ContextTokens <= 0 {
			m.decl.ContextTokens = DefaultContextTokens
		}
		if m.decl.Maximum <= 0 || m.decl.Maximum > control.MaxReplicasPerModel {
			m.decl.Maximum = control.MaxReplicasPerModel
		}
	}
}

// dropUndeclared drops models that are no longer declared once their replicas and targets are gone.
func (p *Planner) dropUndeclared(s *control.State) {
	p.order = slices.DeleteFunc(p.order, func(m *model) bool {
		unused := !m.declared && len(m.records) == 0 && m.pending == 0 && s.ReplicaTarget(m.decl.ID) == 0
		if unused {
			delete(p.models, m.decl.ID)
			p.demand.Forget(m.decl.ID)
		}
		return unused
	})
}

// ensureModel returns the entry of a model. An unknown model gets a new entry that is not declared.
func (p *Planner) ensureModel(id fleet.ModelID) *model {
	if m := p.models[id]; m != nil {
		return m
	}
	m := &model{decl: Model{ID: id, Slots: DefaultSlots}, coldStartWaiters: 1, demand: p.demand.Declare(id)}
	p.models[id] = m
	i, _ := slices.BinarySearchFunc(p.order, id, func(m *model, id fleet.ModelID) int { return cmp.Compare(m.decl.ID, id) })
	p.order = slices.Insert(p.order, i, m)
	return m
}

func (m *model) loadTime(t fleet.Tier) time.Duration {
	if m.measuredLoad[t] > 0 {
		return m.measuredLoad[t]
	}
	if m.decl.LoadTime[t] > 0 {
		return m.decl.LoadTime[t]
	}
	return defaultLoadTime[t]
}

func (m *model) observeLoad(t fleet.Tier, took time.Duration) {
	const weight = 0.2
	m.measuredLoad[t] = time.Duration(float64(m.loadTime(t))*(1-weight) + float64(took)*weight)
}

// reservedMemory returns the memory that a replica needs beside its weights.
func (m *model) reservedMemory() fleet.Bytes {
	return m.decl.KVPerToken*fleet.Bytes(m.decl.ContextTokens) + m.decl.AdapterMemory
}

func (m *model) requiredReplicas() int {
	return min(max(m.decl.Minimum, m.decl.Pinned), m.decl.Maximum)
}

func (m *model) target() fleet.Target { return fleet.Target{Model: m.decl.ID} }

// costs returns the cost of an idle replica, by its share of a backend server, and that of the waiting requests at a cold
// start.
func (p *Planner) costs(m *model) warm.Costs {
	share := 1.0
	if p.view.meanMemory > 0 {
		share = min(1, float64(m.decl.Memory+m.reservedMemory())/float64(p.view.meanMemory))
	}
	load := m.loadTime(fleet.TierRemote)
	return warm.Costs{IdlePerHour: p.cfg.IdleHourCost * share, ColdStart: p.coldCost(m), LoadTime: load}
}

func (p *Planner) coldCost(m *model) float64 {
	return p.cfg.WaitCost * m.loadTime(fleet.TierRemote).Seconds() * max(1, m.coldStartWaiters)
}

// updateDesired computes the desired number of replicas from demand, the operators' bounds and the time since the last
// call.
func (p *Planner) updateDesired(now time.Time, m *model) {
	m.blockedReason = ""
	m.estimated = false
	if !m.declared {
		m.desired, m.currentNeed, m.background = 0, 0, false
		return
	}
	m.demand.Update(now, min(max(m.loadTime(fleet.TierDisk), minSmoothing), maxSmoothing))
	need := 0
	if m.demand.Active() {
		need = max(1, m.replicasForLoad(), m.replicasForBacklog())
		if m.demand.Alone > 0 {
			// A request suspected of crashing backend servers may not run on the model's last replica.
			need = max(need, 2)
		}
		m.evicted = false
		if m.demand.Waiting > 0 && m.serving == 0 {
			m.coldStartWaiters = max(m.coldStartWaiters, 0.5*m.coldStartWaiters+0.5*float64(m.demand.Waiting))
		}
	}
	if need >= m.currentNeed {
		m.currentNeed, m.currentNeedAt = need, now
	} else if shrinkDelay := min(max(2*m.loadTime(fleet.TierRemote), minShrinkDelay), maxShrinkDelay); now.Sub(m.currentNeedAt) > shrinkDelay {
		m.currentNeed, m.currentNeedAt = max(need, m.currentNeed-1), now
	}
	desired := m.currentNeed
	if desired <= 1 && !m.demand.Active() {
		desired = p.desiredWhenIdle(now, m)
	}
	desired = min(max(desired, m.requiredReplicas()), m.decl.Maximum)
	if desired == 0 && m.desired > 0 {
		if !p.warm.MayUnload(now, m.target()) {
			desired = m.desired
		} else {
			p.warm.ObserveUnload(now, m.target())
			m.coldStartWaiters = max(1, 0.9*m.coldStartWaiters)
		}
	}
	m.desired = desired
	m.background = !m.demand.Active() && m.serving+m.outgoing == 0 && desired > m.requiredReplicas()
}

// desiredWhenIdle returns 1 if an idle model should stay loaded or be loaded before its next call, else 0.
func (p *Planner) desiredWhenIdle(now time.Time, m *model) int {
	last, called := p.warm.LastCall(m.target())
	loaded := m.serving+m.incoming > 0
	if !called {
		// A new leader has no call history of a loaded model, so it keeps the model for a fixed time.
		if loaded && now.Sub(p.started) < warm.DefaultKeepTime {
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
	if loaded && !m.evicted && p.warm.WorthKeeping(now, m.target(), c) {
		return 1
	}
	if p.warm.WorthPreloading(now, m.target(), c) {
		return 1
	}
	return 0
}

// replicasForLoad returns the number of replicas that the running requests need at the target utilisation.
func (m *model) replicasForLoad() int {
	return int(math.Ceil(m.demand.MeanRunning / (float64(m.decl.Slots) * targetUtilisation)))
}

// replicasForBacklog returns the number of replicas that serve the waiting requests within one load time or by the earliest
// deadline, whichever is sooner. Further replicas would be ready only after the backlog is gone.
func (m *model) replicasForBacklog() int {
	if m.demand.Waiting == 0 {
		return 0
	}
	within := m.loadTime(fleet.TierRemote)
	if m.demand.TimeToDeadline > 0 {
		within = min(within, m.demand.TimeToDeadline)
	}
	within = max(within, time.Second)
	work := float64(m.demand.Waiting) * m.demand.ServiceTime().Seconds()
	return int(math.Ceil(work / (float64(m.decl.Slots) * within.Seconds())))
}
