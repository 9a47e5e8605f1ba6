package retry

import (
	"time"

	"toucanway/core/fleet"
)

// Defaults of Limit and Retention.
const (
	DefaultMaxFingerprints = 16384
	DefaultRetention       = time.Minute
)

// Repetitions recognises requests that a caller repeats, so that they are charged to the tenant's retry budget. It keeps their
// fingerprints in two generations, for one to two times Retention. The zero value uses the defaults above. It is not safe for
// concurrent use.
type Repetitions struct {
	// Limit bounds the fingerprints of a generation; the older generation is dropped early when it is reached.
	Limit int
	// Retention is the time after which a new generation starts and the older one is dropped.
	Retention time.Duration

	current, previous map[fleet.Fingerprint]struct{}
	currentSince      time.Time
}

// Seen records a fingerprint and reports whether it was recorded before.
func (r *Repetitions) Seen(now time.Time, f fleet.Fingerprint) bool {
	limit, retention := r.Limit, r.Retention
	if limit <= 0 {
		limit = DefaultMaxFingerprints
	}
	if retention <= 0 {
		retention = DefaultRetention
	}
	if r.current == nil || len(r.current) >= limit || now.Sub(r.currentSince) >= retention {
		r.previous = r.current
		if now.Sub(r.currentSince) >= 2*retention {
			r.previous = nil
		}
		r.current, r.currentSince = map[fleet.Fingerprint]struct{}{}, now
	}
	_, inCurrent := r.current[f]
	_, inPrevious := r.previous[f]
	r.current[f] = struct{}{}
	return inCurrent || inPrevious
}

// Forget drops the fingerprint of a request that was answered in full: its caller may send the same body again on purpose.
func (r *Repetitions) Forget(f fleet.Fingerprint) {
	delete(r.current, f)
	delete(r.previous, f)
}
