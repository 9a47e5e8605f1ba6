package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// declare puts a configuration in force whose engines have only the given models. Engines keep what they hold.
func (d *deployment) declare(models ...routes.Model) {
	for _, m := range d.engineSpec.Models {
		d.sizes[m.Name] = m
	}
	d.engineSpec.Models = models
	spec := d.engineSpec
	d.planner.Configure(routes.NewTable(&routes.Configuration{Services: []routes.Service{{Name: "llm", Engine: &spec}}}))
	for _, m := range models {
		d.sizes[m.Name] = m
	}
}

// Guards against an engine that is ordered to load more than it holds, since a model that it holds and that the configuration no longer declares
// counts as nothing. The engine of the test fails it at such an order.
func TestModelsThatAreNoLongerDeclaredCount(t *testing.T) {
	a, b, c, e := model("a", 20), model("b", 50), model("c", 25), model("e", 25)
	tests := map[string]struct {
		// change changes the leader after the configuration.
		change func(d *deployment)
		// adapter is set if the demand is for adapters of a model that is held.
		adapter bool
	}{
		"same leader":                   {func(*deployment) {}, false},
		"leader that led before":        {func(d *deployment) { d.lead(d.planner.Successor()) }, false},
		"new leader":                    {func(d *deployment) { d.lead(New(Settings{})) }, false},
		"adapters, same leader":         {func(*deployment) {}, true},
		"adapters, new leader":          {func(d *deployment) { d.lead(New(Settings{})) }, true},
		"adapters, leader before that ": {func(d *deployment) { d.lead(d.planner.Successor()) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1, 1, a, b)
			d.loadModels(0, "a", "b")
			f := d.engines["e0"]
			f.disk["c"], f.disk["e"] = true, true
			d.run(3 * time.Second)
			d.declare(a, c, e)
			tt.change(d)
			wanted := []fleet.Target{target("c"), target("e")}
			if tt.adapter {
				wanted = []fleet.Target{{Model: "a", Adapter: "a1"}, {Model: "a", Adapter: "a2"}}
			}
			for _, w := range wanted {
				for range 20 {
					d.addDemand(3, w)
					d.run(250 * time.Millisecond)
				}
				require.NotNil(t, f.models[w.Model], "%s is not served: %v", w.Model, d.orders)
				if tt.adapter {
					require.True(t, f.models[w.Model][w.Adapter], "%v is not served: %v", w, d.orders)
				}
			}
		})
	}
}

// Guards against engines that are ordered to load more than they hold while configurations add, drop and resize models and leaders change.
func TestChangingModelsNeverOvercommit(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var all []routes.Model
			for i := range 9 {
				all = append(all, model(fmt.Sprint("m", i), fleet.Bytes(20+5*i)))
			}
			d := newDeployment(t, seed, 3, all[:4]...)
			d.unansweredShare = 0.1
			for i := range 3 {
				d.loadModels(i, all[i].Name)
			}
			for range 80 {
				switch d.rand.IntN(6) {
				case 0:
					var some []routes.Model
					for _, m := range all {
						if d.rand.IntN(2) == 0 {
							some = append(some, m)
						}
					}
					d.declare(some...)
				case 1:
					d.lead(New(Settings{}))
				case 2:
					d.lead(d.planner.Successor())
				}
				if n := len(d.engineSpec.Models); n > 0 {
					d.addDemand(1+d.rand.IntN(3), target(d.engineSpec.Models[d.rand.IntN(n)].Name))
				}
				d.run(500 * time.Millisecond)
			}
		})
	}
}

// Guards against sizes of models of earlier configurations that are kept without a bound, or dropped while an engine holds the model.
func TestFormerModelsAreBounded(t *testing.T) {
	p := New(Settings{})
	table := func(m ...routes.Model) *routes.Table {
		return routes.NewTable(&routes.Configuration{Services: []routes.Service{{Name: "llm", Engine: &routes.Engine{Weights: 100 * gigabyte, Models: m}}}})
	}
	p.Configure(table(model("held", 1)))
	p.engines["e"] = &engine{models: map[fleet.ModelID]*modelState{"held": {}}}
	p.engines["e"].Service = "llm"
	for i := range 5 * maxFormerModels {
		p.Configure(table(model(fmt.Sprint("m", i), 1)))
		require.LessOrEqual(t, len(p.sizes), maxFormerModels+2)
	}
	require.Contains(t, p.sizes, modelKey{"llm", "held"})
}

// Guards against work that grows with the number of declared models before each planning pass of a leader.
func TestSameConfigurationIsNotReadAgain(t *testing.T) {
	var models []routes.Model
	for i := range 100 {
		models = append(models, model(fmt.Sprint("m", i), 1))
	}
	d := newDeployment(t, 1, 2, models...)
	d.loadModels(0, "m0", "m1")
	d.run(2 * time.Second)
	require.Zero(t, testing.AllocsPerRun(10, func() { d.planner.Configure(d.planner.table) }))
}
