package residency

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// replicaUtilization is the share of an engine's capacity that the requests for one model may use before the model gets another
// replica. Other models share the engine, and requests arrive in bursts.
const replicaUtilization = 0.25

// crowdedReplicaBenefit is the benefit of a further replica of a model for each replica that its demand would keep busy beyond
// those that it has.
const crowdedReplicaBenefit = 3.0

// requestsPerReplica returns the number of requests in flight per replica above which a model gets another replica: a share of
// what an engine can hold at once in slots, and in memory for requests with the recent mean prompt, but at most
// Settings.RequestsPerReplica.
func (p *Planner) requestsPerReplica(s fleet.ServiceID, d modelDemand) float64 {
	spec := p.engineSpec(s)
	if spec == nil || spec.Slots <= 0 {
		return float64(p.cfg.RequestsPerReplica)
	}
	capacity := float64(spec.Slots)
	if spec.KVCapacity > 0 && d.rate > 0 && d.prompt > 0 {
		capacity = min(capacity, float64(spec.KVCapacity)*d.rate/d.prompt)
	}
	return min(max(replicaUtilization*capacity, 1), float64(p.cfg.RequestsPerReplica))
}

type replicaCount struct {
	// total is the number of all replicas, including those that are being loaded; ready is the number that take requests now.
	total, ready int
	// inFlight is the number of requests in flight at the replicas.
	inFlight int
}

// countReplicas counts the replicas of all models in one pass, since a pass over all engines for each model is expensive.
func (p *Planner) countReplicas() {
	p.replicaCounts = map[demandKey]replicaCount{}
	for _, e := range p.engines {
		if !e.usable() {
			continue
		}
		for name, h := range e.models {
			if h.phase == unloading {
				continue
			}
			k := demandKey{e.Service, fleet.Target{Model: name}}
			t := p.replicaCounts[k]
			t.total++
			t.inFlight += e.inFlightByModel[name]
			if h.phase == loaded {
				t.ready++
			}
			p.replicaCounts[k] = t
		}
		if e.goal != "" && e.models[e.goal] == nil {
			p.countGoal(e)
		}
	}
}

// countGoal adds the replica that an engine has as its goal.
func (p *Planner) countGoal(e *engine) {
	k := demandKey{e.Service, fleet.Target{Model: e.goal}}
	t := p.replicaCounts[k]
	t.total++
	p.replicaCounts[k] = t
}

// smoothedLoad is the number of requests in flight, smoothed with the time constant loadTimeConstant. A short peak is over before
// another replica is loaded, so it must not trigger that load; the result doesn't depend on how often the number is sampled.
type smoothedLoad struct {
	value     float64
	updatedAt time.Time
}

const (
	loadTimeConstant = 2 * time.Second
	// minSmoothedLoad is the value below which the entry of a model is dropped.
	minSmoothedLoad = 0.01
)

func (l smoothedLoad) update(now time.Time, x float64) smoothedLoad {
	f := math.Exp(-float64(now.Sub(l.updatedAt)) / float64(loadTimeConstant))
	return smoothedLoad{x + (l.value-x)*f, now}
}

// updateSmoothedLoads updates the smoothed loads of all models and drops those below minSmoothedLoad.
func (p *Planner) updateSmoothedLoads(now time.Time) {
	for k := range p.replicaCounts {
		l, ok := p.smoothedLoads[k]
		if !ok {
			l.updatedAt = now
		}
		p.smoothedLoads[k] = l.update(now, float64(p.replicaCounts[k].inFlight))
	}
	for k, l := range p.smoothedLoads {
		if _, ok := p.replicaCounts[k]; !ok {
			l = l.update(now, 0)
			p.smoothedLoads[k] = l
		}
		if l.value < minSmoothedLoad && p.replicaCounts[k].inFlight == 0 {
			delete(p.smoothedLoads, k)
		}
	}
}
