package queue

import (
	"cmp"
	"math"
	"time"
)

// Defaults of LongRule.
const (
	DefaultLongShare  = 0.75
	DefaultLeastShare = 0.25
	// demandTime is the time over which the slots that short work needs are averaged.
	demandTime = 20 * time.Second
)

// LongRule keeps predicted-long work from filling every slot while other work waits. The share of long work falls below
// Share, down to Least, when short work needs more than the rest. The zero value uses the defaults.
type LongRule struct {
	// Share and Least are the largest and the least share of slots that long work may hold while others wait.
	Share, Least float64
	// Hold keeps the share in force for this long after short work last ran or waited.
	Hold time.Duration

	demand float64
	shorts int
	at     time.Time
	last   time.Time
}

// Observe takes the number of short requests that run or wait from now on.
func (r *LongRule) Observe(now time.Time, shorts int) {
	if d := now.Sub(r.at); !r.at.IsZero() && d > 0 {
		r.demand += (float64(r.shorts) - r.demand) * (1 - math.Exp(-float64(d)/float64(demandTime)))
	}
	r.shorts, r.at = shorts, now
	if shorts > 0 {
		r.last = now
	}
}

// Cap returns how many of the slots long work may hold, at least 1, while a number of shorts wait.
func (r *LongRule) Cap(now time.Time, slots, waiting int) int {
	if waiting == 0 && (r.last.IsZero() || now.Sub(r.last) >= r.Hold) {
		return slots
	}
	most := cmp.Or(r.Share, DefaultLongShare) * float64(slots)
	least := cmp.Or(r.Least, DefaultLeastShare) * float64(slots)
	// Short work arrives at random; its square root is the usual allowance for that.
	rest := float64(slots) - r.demand - math.Sqrt(r.demand)
	return max(1, int(min(most, max(least, rest))))
}
