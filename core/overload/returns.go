package overload

import "time"

// Bounds of the memory of refused callers and of the delay that they are told.
const (
	// maxReturns bounds the number of remembered refusals; further ones are not remembered.
	maxReturns = 4096
	// returnMemory is how long after the time that it was told a caller is recognised.
	returnMemory = 10 * time.Second
	// minReturnDelay and maxReturnDelay bound the delay that a refused caller is told.
	minReturnDelay = 250 * time.Millisecond
	maxReturnDelay = 15 * time.Second
	// Callers are told different delays, which spread over the shortest delay divided by returnSpreadShare, but over minReturnSpread
	// at least.
	returnSpreadShare = 2
	minReturnSpread   = 500 * time.Millisecond
)

// Returns recognises requests that come back after a refusal, by a key of their content. The zero value is empty.
type Returns struct {
	refused map[uint64]refused
	// expiredAt is the time at which old refusals were last searched for.
	expiredAt time.Time
}

// refused is the last refusal of a request.
type refused struct {
	// first is the time of the first refusal of the request, notBefore the time at which it may come back.
	first, notBefore time.Time
}

// Arrive returns the time since the first refusal of a request that has come back when it was asked to, and 0 for others. Of several
// requests with the same key, only one has come back.
func (r *Returns) Arrive(now time.Time, key uint64) time.Duration {
	v, ok := r.refused[key]
	if !ok || now.Before(v.notBefore) {
		return 0
	}
	delete(r.refused, key)
	if now.Sub(v.notBefore) > returnMemory {
		return 0
	}
	return now.Sub(v.first)
}

// Refuse records the refusal of a request and returns the delay that its caller is told, given the time in which room is expected.
// Callers must differ in the random number, which is at least 0 and less than 1. A request that has come back too early is told the time
// that was left.
func (r *Returns) Refuse(now time.Time, key uint64, roomIn, seniority time.Duration, random float64) time.Duration {
	if v, ok := r.refused[key]; ok && now.Before(v.notBefore) {
		return max(v.notBefore.Sub(now), minReturnDelay)
	}
	// A request that was refused for long comes back less often, since room was expected too early before.
	wait := min(max(roomIn, seniority/2, minReturnDelay), maxReturnDelay)
	delay := wait + time.Duration(random*float64(max(wait/returnSpreadShare, minReturnSpread)))
	if len(r.refused) >= maxReturns {
		r.expire(now)
	}
	if len(r.refused) < maxReturns {
		if r.refused == nil {
			r.refused = map[uint64]refused{}
		}
		r.refused[key] = refused{now.Add(-seniority), now.Add(delay)}
	}
	return delay
}

// expire forgets callers that have not come back, once a second at most.
func (r *Returns) expire(now time.Time) {
	if now.Sub(r.expiredAt) < time.Second {
		return
	}
	r.expiredAt = now
	for key, v := range r.refused {
		if now.Sub(v.notBefore) > returnMemory {
			delete(r.refused, key)
		}
	}
}
