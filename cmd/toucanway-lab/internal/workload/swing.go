package workload

import (
	"math/rand/v2"
	"time"
)

const (
	lowFactor  = 0.3
	highFactor = 3
	// ramp is the time in which the rate goes from one level to the next.
	ramp     = 2 * time.Second
	minLevel = 5 * time.Second
	maxLevel = 15 * time.Second
)

// swing is the factor of the rate over time: levels that last seconds, with short ramps between them.
type swing struct {
	levels []level
}

type level struct {
	from   time.Duration
	factor float64
}

// newSwing draws levels whose mean over time is 1.
func newSwing(s Settings) *swing {
	if s.Steady {
		return &swing{levels: []level{{factor: 1}}}
	}
	random := rand.New(rand.NewPCG(s.Seed, 2))
	w := &swing{}
	var sum float64
	for at := time.Duration(0); at < s.Duration; {
		f := lowFactor + random.Float64()*(highFactor-lowFactor)
		if len(w.levels)%2 == 1 {
			f = lowFactor
		}
		w.levels = append(w.levels, level{from: at, factor: f})
		span := minLevel + time.Duration(random.Int64N(int64(maxLevel-minLevel)))
		sum += f * min(span, s.Duration-at).Seconds()
		at += span
	}
	mean := sum / s.Duration.Seconds()
	for i := range w.levels {
		w.levels[i].factor /= mean
	}
	return w
}

func (w *swing) factor(at time.Duration) float64 {
	i := len(w.levels) - 1
	for i > 0 && w.levels[i].from > at {
		i--
	}
	l := w.levels[i]
	if i == 0 || at-l.from >= ramp {
		return l.factor
	}
	before := w.levels[i-1].factor
	return before + (l.factor-before)*float64(at-l.from)/float64(ramp)
}
