package warm

import (
	"math"
	"time"
)

const (
	buckets = 40
	// bucketBase and bucketRatio span gaps from 1 s to about 8 days.
	bucketBase  = time.Second
	bucketRatio = 1.4
	// maxCounts halves all counts when it is reached, so that old habits fade.
	maxCounts = 512
)

// histogram counts gaps between calls in buckets of growing width.
type histogram struct {
	counts [buckets]float64
	total  float64
}

// edge returns the upper end of a bucket.
func edge(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(bucketRatio, float64(i)))
}

var edges = func() (out [buckets]time.Duration) {
	for i := range out {
		out[i] = edge(i)
	}
	return out
}()

func bucketOf(gap time.Duration) int {
	for i, e := range edges {
		if gap <= e {
			return i
		}
	}
	return buckets - 1
}

func (h *histogram) add(gap time.Duration) {
	h.counts[bucketOf(gap)]++
	h.total++
	if h.total < maxCounts {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// beyond returns the counts of gaps longer than an age; the bucket that holds the age counts by its remaining part.
func (h *histogram) beyond(age time.Duration) float64 {
	var sum float64
	for i := buckets - 1; i >= 0; i-- {
		low := time.Duration(0)
		if i > 0 {
			low = edges[i-1]
		}
		if age >= edges[i] {
			break
		}
		part := 1.0
		if age > low {
			part = float64(edges[i]-age) / float64(edges[i]-low)
		}
		sum += h.counts[i] * part
	}
	return sum
}

// profit returns the best expected saving, over all horizons, of staying loaded from an age on: the cold start avoided
// by a call within the horizon, less the idle cost until the call or the horizon. first is the earliest horizon that
// counts.
func (h *histogram) profit(age, first time.Duration, c Costs) float64 {
	rest := h.beyond(age)
	if rest <= 0 {
		return 0
	}
	best := math.Inf(-1)
	var hit, waited float64
	for i := range edges {
		if edges[i] <= age {
			continue
		}
		low := age
		if i > 0 {
			low = max(age, edges[i-1])
		}
		n := h.beyond(low) - h.beyond(edges[i])
		hit += n
		waited += n * ((low+edges[i])/2 - age).Hours()
		if edges[i]-age < first {
			continue
		}
		idle := waited + (rest-hit)*(edges[i]-age).Hours()
		best = max(best, c.Cold*hit/rest-c.IdleHour*idle/rest)
	}
	return best
}
