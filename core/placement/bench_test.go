package placement

import (
	"fmt"
	"testing"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// BenchmarkRound measures one round after a change of the control state, with a demand report from every host.
// The sizes are a deployment of today, one of the target size and one with a tenth of the target's hosts.
func BenchmarkRound(b *testing.B) {
	for name, size := range map[string]struct{ hosts, engines, centres, models, adapters int }{
		"today":  {9, 18, 3, 60, 95},
		"tenth":  {130, 660, 12, 100, 10},
		"target": {1300, 6600, 12, 210, 10},
	} {
		b.Run(name, func(b *testing.B) {
			w := newTestCluster(b)
			w.addServers(size.hosts, size.engines, size.centres, 640*fleet.GiB)
			var models []Model
			for i := range size.models {
				m := testModel(fleet.ModelID(fmt.Sprintf("m%03d", i)))
				m.Minimum, m.SpreadDataCentres = min(64, size.engines/size.models+1), 2
				models = append(models, m)
			}
			p := newPlanner(models...)
			for range 40 + size.engines/256 {
				w.round(p, time.Second)
			}
			for i := range size.engines {
				id := fleet.BackendID(fmt.Sprintf("e%04d", i))
				sv, _ := w.state.Backend(id)
				for k := range 2 {
					c := &control.DecideLoad{
						Model: models[(2*i+k)%size.models].ID, Version: "v1", Backend: id, Incarnation: 1, Memory: 10 * fleet.GiB,
					}
					if res := w.apply(c); res.Reason == "" {
						_ = w.apply(&control.ReportOrder{Order: fleet.OrderID(res.Index), Fence: sv.Fence, State: control.ReplicaSent})
						_ = w.apply(&control.ReportOrder{Order: fleet.OrderID(res.Index), Fence: sv.Fence, State: control.ReplicaReady})
					}
				}
			}
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				seq++
				w.now = w.now.Add(time.Second)
				for h := range size.hosts {
					d := Demand{Host: fleet.HostID(fmt.Sprintf("h%04d", h)), Incarnation: 1, Seq: seq}
					for k := range min(30, size.models) {
						id := models[(h*7+k)%size.models].ID
						d.Entries = append(d.Entries, DemandEntry{
							Target: fleet.Target{Model: id, Adapter: fleet.AdapterID(fmt.Sprintf("a%02d", (h+k)%size.adapters))},
							Class:  fleet.ClassStandard, Region: "r1", Running: 1, Calls: 1, Waiting: (h + k) % 40 / 39,
							TimeToDeadline: 20 * time.Second,
						})
					}
					p.ObserveDemand(w.now, d)
				}
				_ = w.apply(&control.SetReplicaTarget{Model: "none", Count: int(seq % 2)})
				b.StartTimer()
				p.Round(w.now, &w.state)
			}
		})
	}
}
