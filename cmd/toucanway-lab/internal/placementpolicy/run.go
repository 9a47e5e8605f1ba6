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

// ErrUnknown is the error for a name that is not an experiment.
var ErrUnknown = Errors.NewType("unknown-experiment")

// Names lists the experiments.
func Names() []string {
	return []string{"kopi", "asociacion", "kopi-loss", "asociacion-loss", "kopi-slow-store", "round-cost"}
}

var columns = []string{
	"served %", "peak served %", "cold starts", "cold p50 s", "cold p99 s", "idle hours", "loads", "store at once",
	"store starts/s", "store over s", "restored p50 s", "restored max s",
}

// Run compares the policies in one experiment. The same name and seed give the same table, except for round-cost, which
// measures real time.
func Run(name string, seed uint64) (Table, error) {
	sc := kopi()
	switch name {
	case "kopi":
	case "asociacion":
		sc = asociacion()
	case "kopi-loss":
		sc.lossAt, sc.lossDuration = 2*time.Hour, time.Hour
	case "asociacion-loss":
		sc = asociacion()
		sc.lossAt, sc.lossDuration = 2*time.Hour, time.Hour
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
			Catalogue: c, Store: store.Settings{Rate: sc.storeRate, Concurrency: storeConcurrency}, Warm: warm.Settings{Policy: w}, Seed: seed,
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
			percent(f.servedCount, f.requestCount), percent(f.peakServedCount, f.peakCount), float64(len(f.coldWaits)), quantile(f.coldWaits, 0.5), quantile(f.coldWaits, 0.99),
			f.idleHours, float64(f.loadCount), float64(f.maxStoreLoads), float64(f.maxStartsPerTick), f.storeOverloaded.Seconds(),
			quantile(f.restoreTimes, 0.5), quantile(f.restoreTimes, 1),
		}})
	}
	return t, nil
}

func percent(part, all int) float64 { return 100 * float64(part) / float64(max(all, 1)) }
