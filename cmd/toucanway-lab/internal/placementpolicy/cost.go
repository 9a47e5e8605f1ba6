package placementpolicy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
)

// roundCost measures the time of a planning round after changes of demand and state, at several sizes and per engine.
func roundCost(seed uint64) Table {
	t := Table{Name: "round-cost", Seed: seed, Columns: []string{"engines", "hosts", "models", "replicas", "ms per round", "us per engine"}}
	for _, size := range []struct{ engines, hosts, models int }{{18, 9, 60}, {660, 130, 100}, {1650, 325, 210}, {3300, 650, 210}, {6600, 1300, 210}} {
		ms, replicas := RoundCost(seed, size.engines, size.hosts, size.models)
		t.Rows = append(t.Rows, Row{Policy: fmt.Sprintf("planner, %d engines", size.engines), Values: []float64{
			float64(size.engines), float64(size.hosts), float64(size.models), float64(replicas), ms,
			ms * 1000 / float64(size.engines),
		}})
	}
	return t
}

// RoundCost returns the mean time of a round in milliseconds, after changes of demand and state, and the number of replicas at
// the end.
func RoundCost(seed uint64, engines, hosts, models int) (ms float64, replicas int) {
	sc := scenario{models: models, engines: engines, hosts: hosts, memory: 640 * fleet.GiB}
	c := sc.catalogue(rand.New(rand.NewPCG(seed, 1)))
	for i := range c.Models {
		c.Models[i].Minimum = min(64, 1+engines/models/2)
	}
	p := placement.New(placement.Settings{Catalogue: c, Seed: seed})
	l := newLoop(sc, c, nil, p)
	const warmUp, measured = 150, 20
	var sum time.Duration
	for i := range warmUp + measured {
		l.now += time.Second
		l.reportDemandOfAllHosts(p, i)
		l.apply(&control.SetReplicaTarget{Model: "other", Count: i % 2})
		startedAt := time.Now()
		out := p.Round(l.start.Add(l.now), &l.state)
		if i >= warmUp {
			sum += time.Since(startedAt)
		}
		for _, cmd := range out {
			l.apply(cmd)
		}
		for _, r := range l.state.AllReplicas() {
			b, _ := l.state.Backend(r.Backend)
			if r.State == control.ReplicaIntended {
				l.apply(&control.ReportOrder{Order: r.Order, Fence: b.Fence, State: control.ReplicaSent})
				l.apply(&control.ReportOrder{Order: r.Order, Fence: b.Fence, State: control.ReplicaReady})
			}
		}
	}
	return sum.Seconds() * 1000 / measured, len(l.state.AllReplicas())
}

// reportDemandOfAllHosts reports demand from every host for up to thirty models.
func (l *loop) reportDemandOfAllHosts(p policy, i int) {
	for h := range l.sc.hosts {
		d := placement.Demand{Host: fleet.HostID(fmt.Sprintf("h%d", h)), Incarnation: 1, Seq: uint64(i + 1)}
		for k := range min(30, l.sc.models) {
			d.Entries = append(d.Entries, placement.DemandEntry{
				Target: fleet.Target{Model: l.catalogue.Models[(h*7+k)%l.sc.models].ID}, Class: fleet.ClassStandard, Region: placeOf(h).Region,
				Running: 1, Calls: 1,
			})
		}
		p.ObserveDemand(l.start.Add(l.now), d)
	}
}
