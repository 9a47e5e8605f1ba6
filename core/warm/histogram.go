package warm

import (
	"math"
	"time"
)

const (
	buckets = 40
	// bucketBase and bucketRatio make the buckets span gaps from 1 s to about 6 days.
	bucketBase  = time.Second
	bucketRatio = 1.4
	// maxCounts is the total at which all counts are halved, so that older gaps weigh less.
	maxCounts = 512
)

// histogram counts the gaps between calls in buckets of exponentially growing width.
type histogram struct {
	counts [buckets]float64
	total  float64
}

// upperBound returns the upper end of a bucket.
func upperBound(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(bucketRatio, float64(i)))
}

var upperBounds = func() (out [buckets]time.Duration) {
	for i := range out {
		out[i] = upperBound(i)
	}
	return out
}()

func bucketOf(gap time.Duration) int {
	for i, e := range upperBounds {
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

// countAbove returns the number of gaps longer than an age. The bucket that contains the age counts in proportion to the part
// of it above the age.
func (h *histogram) countAbove(age time.Duration) float64 {
	var sum float64
	for i := buckets - 1; i >= 0; i-- {
		low := time.Duration(0)
		if i > 0 {
			low = upperBounds[i-1]
		}
		if age >= upperBounds[i] {
			break
		}
		part := 1.0
		if age > low {
			part = float64(upperBounds[i]-age) / float64(upperBounds[i]-low)
		}
		sum += h.counts[i] * part
	}
	return sum
}

// bestSaving returns the largest expected saving, over all horizons, of keeping a target loaded that was last called age ago: the
// cost of a cold start that a call within the horizon avoids, minus the idle cost until the call or the horizon. Horizons
// shorter than minHorizon are not considered.
func (h *histogram) bestSaving(age, minHorizon time.Duration, c Costs) float64 {
	remaining := h.countAbove(age)
	if remaining <= 0 {
		return 0
	}
	best := math.Inf(-1)
	var called, idleHours float64
	for i := range upperBounds {
		if upperBounds[i] <= age {
			continue
		}
		low := age
		if i > 0 {
			low = max(age, upperBounds[i-1])
		}
		n := h.countAbove(low) - h.countAbove(upperBounds[i])
		called += n
		idleHours += n * ((low+upperBounds[i])/2 - age).Hours()
		if upperBounds[i]-age < minHorizon {
			continue
		}
		idle := idleHours + (remaining-called)*(upperBounds[i]-age).Hours()
		best = max(best, c.ColdStart*called/remaining-c.IdlePerHour*idle/remaining)
	}
	return best
}
