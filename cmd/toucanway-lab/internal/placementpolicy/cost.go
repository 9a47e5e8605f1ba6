package placementpolicy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
)

// roundCost measures one round with changed demand and state at several sizes, and the slope per engine.
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

// RoundCost returns the milliseconds of one round after a change of state and demand, and the replicas at that size.
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
		l.wide(p, i)
		l.apply(&control.SetTarget{Model: "other", Count: i % 2})
		began := time.Now()
		out := p.Round(l.start.Add(l.now), &l.state)
		if i >= warmUp {
			sum += time.Since(began)
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

// wide reports demand of every host for thirty models.
func (l *loop) wide(p policy, i int) {
	for h := range l.sc.hosts {
		d := placement.Demand{Host: fleet.HostID(fmt.Sprintf("h%d", h)), Incarnation: 1, Seq: uint64(i + 1)}
		for k := range min(30, l.sc.models) {
			d.Entries = append(d.Entries, placement.DemandEntry{
				Target: fleet.Target{Model: l.catalogue.Models[(h*7+k)%l.sc.models].ID}, Class: fleet.ClassStandard, Region: place(h).Region,
				Running: 1, Calls: 1,
			})
		}
		p.ObserveDemand(l.start.Add(l.now), d)
	}
}
