package queue

import "time"

const (
	// serviceTimeGain is the weight of a new service time in the moving averages, which are renewed by about 30 requests.
	serviceTimeGain = 1.0 / 16
	// defaultLongFactor is the ratio of long to short service times that is assumed until a long request has ended.
	defaultLongFactor = 8
)

// Estimator predicts the time until a waiting entry is served from the service times of short and long requests. The two are
// averaged separately, since a server whose slots are all occupied by long requests frees them far more slowly than a common
// mean suggests. The zero value predicts no wait, so that nothing is refused before the first request has ended.
type Estimator struct {
	short, long float64
}

// Observe records how long a request occupied its slot.
func (e *Estimator) Observe(serviceTime time.Duration, long bool) {
	mean := &e.short
	if long {
		mean = &e.long
	}
	if *mean == 0 {
		*mean = float64(serviceTime)
	}
	*mean += serviceTimeGain * (float64(serviceTime) - *mean)
}

// Wait returns the expected time until an entry with the given number of entries before it gets a slot. free is the number of
// unused slots; shorts and longs are the numbers of slots that short and long requests occupy.
func (e *Estimator) Wait(before, free, shorts, longs int) time.Duration {
	if before < free || e.short == 0 && e.long == 0 {
		return 0
	}
	short, long := e.short, e.long
	if long == 0 {
		long = defaultLongFactor * short
	}
	if short == 0 {
		short = long
	}
	rate := float64(shorts)/short + float64(longs)/long
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(before+1-free) / rate)
}
