package queue

import "time"

const (
	// holdGain is the weight of a new hold time in the moving averages, which are renewed by about 30 requests.
	holdGain = 1.0 / 16
	// defaultLongFactor is the ratio of long to short hold times that is assumed until a long request has ended.
	defaultLongFactor = 8
)

// Estimator predicts the time until a waiting entry is served from how long short and long requests hold their slots. The two
// are averaged separately, since a server whose slots are all held by long requests frees them far more slowly than a common
// mean suggests. The zero value predicts no wait, so that nothing is refused before the first request has ended.
type Estimator struct {
	short, long float64
}

// Observe records how long a request held its slot.
func (e *Estimator) Observe(hold time.Duration, long bool) {
	mean := &e.short
	if long {
		mean = &e.long
	}
	if *mean == 0 {
		*mean = float64(hold)
	}
	*mean += holdGain * (float64(hold) - *mean)
}

// Wait returns the expected time until an entry gets a slot that has the given number of entries before it. free is the
// number of unused slots; shorts and longs are the numbers of slots held by short and long requests.
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
