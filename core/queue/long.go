package queue

import "time"

// DefaultLongShare is the share of slots that predicted-long work may hold while other work waits.
const DefaultLongShare = 0.75

// LongRule keeps predicted-long work from filling every slot. The zero value uses DefaultLongShare.
type LongRule struct {
	// Share is the share of slots that long work may hold while others wait.
	Share float64
	// Hold keeps the share in force for this long after short work last waited or arrived.
	Hold time.Duration

	last time.Time
}

// Observe notes that short work waits or arrives.
func (r *LongRule) Observe(now time.Time) { r.last = now }

// Cap returns how many of the slots long work may hold, at least 1.
func (r *LongRule) Cap(now time.Time, slots, shortsWaiting int) int {
	if shortsWaiting == 0 && (r.last.IsZero() || r.Hold == 0 || now.Sub(r.last) >= r.Hold) {
		return slots
	}
	share := r.Share
	if share <= 0 || share > 1 {
		share = DefaultLongShare
	}
	return max(1, int(share*float64(slots)))
}
