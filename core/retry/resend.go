package retry

import (
	"time"

	"toucanway/core/fleet"
)

// Bounds of Resends.
const (
	DefaultResends      = 16384
	DefaultResendMemory = time.Minute
)

// Resends recognises requests that a caller sends again, so that they are charged to the tenant's budget like retries. It
// remembers fingerprints for one to two periods in two generations. The zero value uses the bounds above. It is not safe for
// concurrent use.
type Resends struct {
	// Limit bounds the fingerprints of a generation; the older generation is dropped early when it is reached.
	Limit int
	// Memory is the length of a period.
	Memory time.Duration

	young, old map[fleet.Fingerprint]struct{}
	since      time.Time
}

// Seen remembers a fingerprint and says whether it was seen before.
func (r *Resends) Seen(now time.Time, f fleet.Fingerprint) bool {
	limit, memory := r.Limit, r.Memory
	if limit <= 0 {
		limit = DefaultResends
	}
	if memory <= 0 {
		memory = DefaultResendMemory
	}
	if r.young == nil || len(r.young) >= limit || now.Sub(r.since) >= memory {
		r.old = r.young
		if now.Sub(r.since) >= 2*memory {
			r.old = nil
		}
		r.young, r.since = map[fleet.Fingerprint]struct{}{}, now
	}
	_, young := r.young[f]
	_, old := r.old[f]
	r.young[f] = struct{}{}
	return young || old
}

// Forget drops a fingerprint whose request was answered in full: the same body may be asked again on purpose.
func (r *Resends) Forget(f fleet.Fingerprint) {
	delete(r.young, f)
	delete(r.old, f)
}
