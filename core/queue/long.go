package queue

import (
	"cmp"
	"math"
	"time"
)

// Defaults of LongRule.
const (
	DefaultMaxLongShare = 0.75
	DefaultMinLongShare = 0.25
	// shortsSmoothing is the time constant over which the slots that short requests need are averaged.
	shortsSmoothing = 20 * time.Second
)

// LongRule keeps requests predicted to be long from using every slot while short requests wait. The share of long requests
// falls below MaxShare, down to MinShare, if short requests need more than the remaining slots. The zero value uses the defaults.
type LongRule struct {
	// MaxShare and MinShare bound the share of slots that long requests may occupy while short ones wait.
	MaxShare, MinShare float64
	// ReleaseDelay is how long the limit stays in force after a short request last ran or waited.
	ReleaseDelay time.Duration

	// meanShorts is the moving average of shorts, the number of short requests that run or wait.
	meanShorts float64
	shorts     int
	// updated is when shorts was last set, lastShort when it was last positive.
	updated   time.Time
	lastShort time.Time
}

// Observe records the number of short requests that run or wait from now on.
func (r *LongRule) Observe(now time.Time, shorts int) {
	if d := now.Sub(r.updated); !r.updated.IsZero() && d > 0 {
		r.meanShorts += (float64(r.shorts) - r.meanShorts) * (1 - math.Exp(-float64(d)/float64(shortsSmoothing)))
	}
	r.shorts, r.updated = shorts, now
	if shorts > 0 {
		r.lastShort = now
	}
}

// SlotLimit returns how many of the slots long requests may occupy, at least 1; waiting is the number of waiting short
// requests.
func (r *LongRule) SlotLimit(now time.Time, slots, waiting int) int {
	if waiting == 0 && (r.lastShort.IsZero() || now.Sub(r.lastShort) >= r.ReleaseDelay) {
		return slots
	}
	upper := cmp.Or(r.MaxShare, DefaultMaxLongShare) * float64(slots)
	lower := cmp.Or(r.MinShare, DefaultMinLongShare) * float64(slots)
	// Short requests arrive at random, so the square root of their mean number is added as a safety margin.
	remaining := float64(slots) - r.meanShorts - math.Sqrt(r.meanShorts)
	return max(1, int(min(upper, max(lower, remaining))))
}
