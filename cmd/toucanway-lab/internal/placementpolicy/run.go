package placementpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"toucanway/core/placement"
	"toucanway/core/store"
	"toucanway/core/warm"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("placementpolicy")

// ErrUnknown reports a name that is no experiment.
var ErrUnknown = Errors.NewType("unknown-experiment")

// Names lists the experiments.
func Names() []string {
	return []string{"kopi", "asociacion", "kopi-loss", "asociacion-loss", "kopi-slow-store", "round-cost"}
}

var columns = []string{
	"served %", "peak served %", "cold starts", "cold p50 s", "cold p99 s", "idle hours", "loads", "store at once",
	"store starts/s", "store over s", "restored p50 s", "restored max s",
}

// Run compares the policies in one experiment. The same name and seed give the same table, but for round-cost, which
// measures time.
func Run(name string, seed uint64) (Table, error) {
	sc := kopi()
	switch name {
	case "kopi":
	case "asociacion":
		sc = asociacion()
	case "kopi-loss":
		sc.lossAt, sc.lossFor = 2*time.Hour, time.Hour
	case "asociacion-loss":
		sc = asociacion()
		sc.lossAt, sc.lossFor = 2*time.Hour, time.Hour
	case "kopi-slow-store":
		sc.slowAt = 2 * time.Hour
	case "round-cost":
		return roundCost(seed), nil
	default:
		return Table{}, ErrUnknown.New("no experiment is named %q; choose one of %v", name, Names())
	}
	t := Table{Name: name, Seed: seed, Columns: columns}
	c := sc.catalogue(rand.New(rand.NewPCG(seed, 1)))
	requests := sc.requests(rand.New(rand.NewPCG(seed, 2)))
	planner := func(w warm.Policy) policy {
		return placement.New(placement.Settings{
			Catalogue: c, Store: store.Settings{Rate: sc.storeRate, Concurrency: storeAtOnce}, Warm: warm.Settings{Policy: w}, Seed: seed,
		})
	}
	for _, p := range []struct {
		name   string
		policy policy
	}{
		{"baseline", newFirstFit(c)},
		{"planner, fixed", planner(warm.PolicyFixed)},
		{"planner, histogram", planner(warm.PolicyHistogram)},
		{"planner, prediction", planner(warm.PolicyPrediction)},
	} {
		f := newLoop(sc, c, requests, p.policy).run()
		t.Rows = append(t.Rows, Row{Policy: p.name, Values: []float64{
			percent(f.served, f.all), percent(f.peakServed, f.peakAll), float64(len(f.cold)), quantile(f.cold, 0.5), quantile(f.cold, 0.99),
			f.idleHours, float64(f.loadCount), float64(f.maxStore), float64(f.maxStarts), f.overStore.Seconds(),
			quantile(f.restored, 0.5), quantile(f.restored, 1),
		}})
	}
	return t, nil
}

func percent(part, all int) float64 { return 100 * float64(part) / float64(max(all, 1)) }
