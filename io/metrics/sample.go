package metrics

import (
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Buckets of durations: six per power of ten from 100 µs to 1,000 s. The error of a percentile is then less than half of
// its value, which is enough to distinguish the target times of 370 ms and 42 ms from twice these times.
const (
	durationBuckets          = 43
	durationBucketsPerDecade = 6
	smallestDuration         = 100 * time.Microsecond
	doublingBuckets          = 41
)

// bucketBounds returns the upper bounds of the buckets for a unit. A last bucket without an upper bound follows them.
func bucketBounds(u Unit) []int64 {
	if u == UnitDuration {
		out := make([]int64, durationBuckets)
		for i := range out {
			out[i] = int64(math.Round(float64(smallestDuration) * math.Pow(10, float64(i)/durationBucketsPerDecade)))
		}
		return out
	}
	out := make([]int64, doublingBuckets)
	for i := range out {
		out[i] = 1 << i
	}
	return out
}

// sample counts values in fixed buckets. It replaces the reservoir samples of go-metrics because the counts of several
// hosts can be added, unlike sampled values, and because it needs neither randomness nor a clock.
type sample struct {
	bounds []int64

	mu       sync.Mutex
	counts   []int64
	count    int64
	sum      int64
	squares  float64
	min, max int64
}

var _ gometrics.Sample = (*sample)(nil)

func newSample(bounds []int64) *sample {
	return &sample{bounds: bounds, counts: make([]int64, len(bounds)+1)}
}

// Update counts one value.
func (s *sample) Update(v int64) {
	bucket := sort.Search(len(s.bounds), func(i int) bool { return v <= s.bounds[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 || v < s.min {
		s.min = v
	}
	if s.count == 0 || v > s.max {
		s.max = v
	}
	s.counts[bucket]++
	s.count++
	s.sum += v
	s.squares += float64(v) * float64(v)
}

// Clear removes all values.
func (s *sample) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.counts)
	s.count, s.sum, s.squares, s.min, s.max = 0, 0, 0, 0, 0
}

// Snapshot returns a copy.
func (s *sample) Snapshot() gometrics.Sample { return s.copy() }

func (s *sample) copy() *sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &sample{
		bounds: s.bounds, counts: slices.Clone(s.counts), count: s.count, sum: s.sum, squares: s.squares, min: s.min, max: s.max,
	}
}

// Count returns the number of values.
func (s *sample) Count() int64 { return s.copy().count }

// Size returns the number of values.
func (s *sample) Size() int { return int(s.Count()) }

// Sum returns the sum of the values.
func (s *sample) Sum() int64 { return s.copy().sum }

// Min returns the smallest value.
func (s *sample) Min() int64 { return s.copy().min }

// Max returns the largest value.
func (s *sample) Max() int64 { return s.copy().max }

// Mean returns the mean of the values.
func (s *sample) Mean() float64 {
	c := s.copy()
	if c.count == 0 {
		return 0
	}
	return float64(c.sum) / float64(c.count)
}

// Variance returns the variance of the values.
func (s *sample) Variance() float64 {
	c := s.copy()
	if c.count == 0 {
		return 0
	}
	mean := float64(c.sum) / float64(c.count)
	return max(0, c.squares/float64(c.count)-mean*mean)
}

// StdDev returns the standard deviation of the values.
func (s *sample) StdDev() float64 { return math.Sqrt(s.Variance()) }

// Values returns nil, since only counts are kept.
func (s *sample) Values() []int64 { return nil }

// Percentile returns an estimate of the p-quantile of the values, with p from 0 to 1.
func (s *sample) Percentile(p float64) float64 { return s.Percentiles([]float64{p})[0] }

// Percentiles returns estimates of several quantiles, interpolated within buckets.
func (s *sample) Percentiles(ps []float64) []float64 {
	c := s.copy()
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = c.percentile(p)
	}
	return out
}

func (s *sample) percentile(p float64) float64 {
	if s.count == 0 {
		return 0
	}
	rank, cumulative := p*float64(s.count), 0.0
	for i, n := range s.counts {
		if n == 0 || cumulative+float64(n) < rank {
			cumulative += float64(n)
			continue
		}
		lo, hi := float64(s.min), float64(s.max)
		if i > 0 {
			lo = max(lo, float64(s.bounds[i-1]))
		}
		if i < len(s.bounds) {
			hi = min(hi, float64(s.bounds[i]))
		}
		return lo + (hi-lo)*(rank-cumulative)/float64(n)
	}
	return float64(s.max)
}
