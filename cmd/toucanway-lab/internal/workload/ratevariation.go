package workload

import (
	"math/rand/v2"
	"time"
)

const (
	lowFactor  = 0.3
	highFactor = 3
	// rampDuration is the time of the linear change from one level to the next.
	rampDuration     = 2 * time.Second
	minLevelDuration = 5 * time.Second
	maxLevelDuration = 15 * time.Second
)

// rateVariation is the variation of the call rate over time, as a factor: levels of 5 to 15 s with short ramps between them.
type rateVariation struct {
	levels []level
}

type level struct {
	from   time.Duration
	factor float64
}

// newRateVariation returns random levels whose mean over the duration is 1, or the constant level 1 if Steady is set.
func newRateVariation(s Settings) *rateVariation {
	if s.Steady {
		return &rateVariation{levels: []level{{factor: 1}}}
	}
	random := rand.New(rand.NewPCG(s.Seed, 2))
	w := &rateVariation{}
	var sum float64
	for at := time.Duration(0); at < s.Duration; {
		factor := lowFactor + random.Float64()*(highFactor-lowFactor)
		if len(w.levels)%2 == 1 {
			factor = lowFactor
		}
		w.levels = append(w.levels, level{from: at, factor: factor})
		length := minLevelDuration + time.Duration(random.Int64N(int64(maxLevelDuration-minLevelDuration)))
		sum += factor * min(length, s.Duration-at).Seconds()
		at += length
	}
	mean := sum / s.Duration.Seconds()
	for i := range w.levels {
		w.levels[i].factor /= mean
	}
	return w
}

// factor returns the factor of the rate at a time.
func (w *rateVariation) factor(at time.Duration) float64 {
	i := len(w.levels) - 1
	for i > 0 && w.levels[i].from > at {
		i--
	}
	l := w.levels[i]
	if i == 0 || at-l.from >= rampDuration {
		return l.factor
	}
	before := w.levels[i-1].factor
	return before + (l.factor-before)*float64(at-l.from)/float64(rampDuration)
}
