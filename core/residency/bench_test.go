package residency

import (
	"fmt"
	"testing"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

// BenchmarkNext measures one planning pass with all models loaded, and with 20 models without a replica.
func BenchmarkNext(b *testing.B) {
	for _, engines := range []int{100, 1000} {
		for _, missing := range []int{0, 20} {
			b.Run(fmt.Sprintf("engines=%d/missing=%d", engines, missing), func(b *testing.B) {
				var models []routes.Model
				for i := range 120 {
					models = append(models, model(fmt.Sprint("m", i), 45))
				}
				d := newDeployment(b, 1, engines, models...)
				for i := range engines {
					d.loadModels(i, models[i%(120-missing)].Name, models[(i*7+1)%(120-missing)].Name)
				}
				for _, id := range d.ids {
					h := d.engines[id].heartbeat(d.now)
					h.OnDisk = nil
					d.planner.Observe(d.now, h.Instance, h)
				}
				for _, a := range d.planner.Next(d.now) {
					if p, ok := a.(Probe); ok {
						d.planner.HandleReport(d.now, p, d.engines[p.Engine].report(d.now))
					}
				}
				now := d.now
				b.ResetTimer()
				for b.Loop() {
					now = now.Add(time.Microsecond)
					d.planner.Next(now)
				}
			})
		}
	}
}

// BenchmarkObserve measures a heartbeat that changes nothing.
func BenchmarkObserve(b *testing.B) {
	d := newDeployment(b, 1, 1000, model("m", 45))
	in := registry.Instance{ID: "e1", Incarnation: 1, Service: "llm", Models: []registry.Model{{Name: "m"}}}
	h := registry.Heartbeat{Instance: in, Engine: true, OnDisk: []fleet.ModelID{"m"}}
	for b.Loop() {
		d.planner.Observe(d.now, in, h)
	}
}
