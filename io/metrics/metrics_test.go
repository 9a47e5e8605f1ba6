package metrics

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"
)

// Guards against text that scrapers cannot parse, and against values that differ between the two expositions.
func TestExposition(t *testing.T) {
	r := New(Options{})
	requests := r.Counter("requests", "Requests by outcome.", "tenant", "class")
	requests.With("sales", "critical").Inc(3)
	requests.With("a\"b\n", "batch").Inc(1)
	r.Gauge("waiting-requests", "Requests that wait.").With().Update(7)
	r.GaugeFunc("goroutines", "Goroutines.", func() int64 { return 9 })
	h := r.Histogram("first-token", "Time to first token.", UnitDuration, "tenant")
	h.With("sales").Update(int64(300 * time.Millisecond))
	h.With("sales").Update(int64(2 * time.Hour))

	var text strings.Builder
	require.NoError(t, r.WriteText(&text))
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text.String()))
	require.NoError(t, err)
	require.InDelta(t, 3, families["toucanway_requests_total"].Metric[1].Counter.GetValue(), 0)
	require.InDelta(t, 7, families["toucanway_waiting_requests"].Metric[0].Gauge.GetValue(), 0)
	require.InDelta(t, 9, families["toucanway_goroutines"].Metric[0].Gauge.GetValue(), 0)
	require.Equal(t, uint64(2), families["toucanway_first_token_seconds"].Metric[0].Histogram.GetSampleCount())

	var first Family
	for _, f := range r.Families() {
		if f.Name == "first-token" {
			first = f
		}
	}
	require.Equal(t, "seconds", first.Unit)
	require.Equal(t, map[string]string{"tenant": "sales"}, first.Metrics[0].Labels)
	require.InDelta(t, 7200, first.Metrics[0].Distribution.Max, 0.001)
}

// Guards against memory that grows with the number of callers, and against counts that are lost above the bound on label
// sets.
func TestLabelSetsAreBounded(t *testing.T) {
	r := New(Options{MaxLabelSets: 3})
	c := r.Counter("requests", "", "tenant", "class")
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { c.With(fmt.Sprint("t", i), "batch").Inc(1) })
	}
	wg.Wait()
	metrics := r.Families()[0].Metrics
	require.Len(t, metrics, 4)
	var sum int64
	for _, m := range metrics {
		sum += m.Value
		if m.Labels["tenant"] == Overflow {
			require.Equal(t, int64(17), m.Value)
		}
	}
	require.Equal(t, int64(20), sum)
}

// Guards against percentiles outside the bucket that contains the true value.
func TestPercentiles(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	s := newSample(bucketBounds(UnitDuration))
	var values []int64
	for range 5000 {
		v := int64(time.Millisecond) + rng.Int64N(int64(3*time.Second))
		values = append(values, v)
		s.Update(v)
	}
	slices.Sort(values)
	for _, p := range []float64{0.5, 0.95, 0.99} {
		require.InEpsilon(t, float64(values[int(p*float64(len(values)))]), s.Percentile(p), 0.47, "p%v", p*100)
	}
	require.Equal(t, values[0], s.Min())
	require.Equal(t, values[len(values)-1], s.Max())
	s.Clear()
	require.Zero(t, s.Count())
	require.Zero(t, s.Percentile(0.5))
}

func BenchmarkHistogramUpdate(b *testing.B) {
	h := New(Options{}).Histogram("first-token", "", UnitDuration, "tenant", "class")
	for b.Loop() {
		h.With("sales-west", "critical").Update(int64(37 * time.Millisecond))
	}
}

func BenchmarkHistogramLabelSet(b *testing.B) {
	h := New(Options{MaxLabelSets: 1 << 30}).Histogram("first-token", "", UnitDuration, "tenant", "class")
	n := 0
	for b.Loop() {
		h.With(fmt.Sprint("tenant-", n), "critical").Update(1)
		n++
	}
}
