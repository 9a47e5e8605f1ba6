package placementpolicy

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/placement"
	"toucanway/core/store"
)

var (
	experiment = flag.String("experiment", "", "experiment to run and print; empty means none")
	seeds      = flag.String("seeds", "1", "comma-separated seeds of the experiment")
)

// Runs an experiment on request and prints its tables.
func TestExperiment(t *testing.T) {
	if *experiment == "" {
		t.Skip("no -experiment given")
	}
	for s := range strings.SplitSeq(*seeds, ",") {
		seed, err := strconv.ParseUint(s, 10, 64)
		require.NoError(t, err)
		table, err := Run(*experiment, seed)
		require.NoError(t, err)
		t.Log("\n" + table.String())
	}
}

// Guards against results that depend on map order or the clock, and against loads beyond the store's limits.
func TestRunIsDeterministicWithinBudget(t *testing.T) {
	sc := kopi()
	sc.duration, sc.peakAt = sc.duration/12, sc.peakAt/12
	a, b := runShort(t, sc), runShort(t, sc)
	require.Equal(t, a, b)
	require.LessOrEqual(t, a.maxStoreLoads, storeConcurrency)
	require.LessOrEqual(t, a.maxStartsPerTick, sc.storeRate)
	require.Positive(t, a.servedCount)
	_, err := Run("nothing", 1)
	require.ErrorContains(t, err, "kopi")
}

func runShort(t *testing.T, sc scenario) measurements {
	t.Helper()
	c := sc.catalogue(rand.New(rand.NewPCG(1, 1)))
	p := placement.New(placement.Settings{Catalogue: c, Store: store.Settings{Rate: sc.storeRate, Concurrency: storeConcurrency}, Seed: 1})
	return newLoop(sc, c, sc.requests(rand.New(rand.NewPCG(1, 2))), p).run()
}
