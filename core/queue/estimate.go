package queue

import "time"

const (
	// holdGain is the weight of a new hold time in the running means; about 30 services renew them.
	holdGain = 1.0 / 16
	// unknownLong is the hold time of long work in units of short work until one ended.
	unknownLong = 8
)

// Estimator predicts the time until a waiting entry is served from how long slots are held by short and by long work. A
// server full of stragglers turns over far more slowly than its mean hold time tells. The zero value predicts no wait, so
// that nothing is refused before the first service ends.
type Estimator struct {
	short, long float64
}

// Observe notes how long a slot was held.
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

// Wait returns the expected time until an entry with ahead others before it gets a slot, when shorts and longs slots are
// held and free ones are unused.
func (e *Estimator) Wait(ahead, free, shorts, longs int) time.Duration {
	if ahead < free || e.short == 0 && e.long == 0 {
		return 0
	}
	short, long := e.short, e.long
	if long == 0 {
		long = unknownLong * short
	}
	if short == 0 {
		short = long
	}
	rate := float64(shorts)/short + float64(longs)/long
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1-free) / rate)
}
