package queue

import "time"

// holdGain is the weight of a new hold time in the running mean; about 30 services renew it.
const holdGain = 1.0 / 16

// Estimator predicts the time until a waiting entry is served from the hold times of slots. The zero value predicts no
// wait, so that nothing is refused before the first service ends.
type Estimator struct {
	mean float64
}

// Observe notes how long a slot was held.
func (e *Estimator) Observe(hold time.Duration) {
	if e.mean == 0 {
		e.mean = float64(hold)
		return
	}
	e.mean += holdGain * (float64(hold) - e.mean)
}

// Hold returns the expected time a slot is held.
func (e *Estimator) Hold() time.Duration { return time.Duration(e.mean) }

// Wait returns the expected time until an entry with ahead others before it gets one of the slots, free of which are
// unused.
func (e *Estimator) Wait(ahead, free, slots int) time.Duration {
	if ahead < free || slots <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1-free) * e.mean / float64(slots))
}
