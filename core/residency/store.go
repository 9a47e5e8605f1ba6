package residency

import (
	"math"
	"slices"
	"time"
)

// storeSpeed measures how many loads the weight store serves at once at full speed. Beyond that number each load takes
// proportionally longer, so that further ones delay those under way and gain nothing.
type storeSpeed struct {
	// limit is the number of loads that may be under way at once.
	limit int
}

const (
	// fullSpeedRatio is the ratio of the duration of a load to the announced one up to which it ran at full speed. The end of a
	// load is seen up to a probe and the age of a report late.
	fullSpeedRatio = 1.2
	// minEnginesPerStoreLoad is the number of engines for each load from the weight store, since an engine carries out no other
	// order meanwhile, not even to load a model of which it has a copy.
	minEnginesPerStoreLoad = 4
	// maxConcurrentStoreLoads bounds the measured limit.
	maxConcurrentStoreLoads = 32
)

// observe records a completed load, its announced duration at full speed, and the largest number of loads that were under way
// meanwhile.
func (s *storeSpeed) observe(took, announced time.Duration, atOnce int) {
	if announced <= 0 || atOnce < 1 {
		return
	}
	ratio := float64(took) / float64(announced)
	switch {
	case ratio > fullSpeedRatio:
		s.limit = max(int(math.Round(float64(atOnce)/ratio)), 1)
	case atOnce >= s.limit:
		s.limit = min(atOnce+1, maxConcurrentStoreLoads)
	}
}

// storeAllowsLoad reports whether the limits of the weight store allow a load from it to start now.
func (p *Planner) storeAllowsLoad(now time.Time) bool {
	p.storeLoads = slices.DeleteFunc(p.storeLoads, func(t time.Time) bool { return now.Sub(t) >= p.cfg.StoreWindow })
	rate := 0.0
	for _, e := range p.engines {
		if e.spec != nil {
			rate = max(rate, e.spec.StoreRate)
		}
	}
	limit := min(p.store.limit, max(len(p.engines)/minEnginesPerStoreLoad, 1))
	return p.activeStoreLoads() < limit && float64(len(p.storeLoads)+1) <= rate*p.cfg.StoreWindow.Seconds()*p.cfg.StoreShare
}

// activeStoreLoads returns the number of engines that load a model from the weight store.
func (p *Planner) activeStoreLoads() int {
	n := 0
	for _, e := range p.engines {
		if e.pending != nil && e.pending.FromStore || e.callInFlight && e.pending == nil && e.loadingFromStore() {
			n++
		}
	}
	return n
}

// recordStoreLoad records that a load from the weight store begins at an engine.
func (p *Planner) recordStoreLoad(now time.Time, e *engine) {
	p.storeLoads = append(p.storeLoads, now)
	n := p.activeStoreLoads() + 1
	e.storeLoadsAtOnce = n
	for _, other := range p.engines {
		if other.pending != nil && other.pending.FromStore {
			other.storeLoadsAtOnce = max(other.storeLoadsAtOnce, n)
		}
	}
}

// loadingFromStore reports whether the engine is loading a model from the weight store because it has no copy of the weights.
func (e *engine) loadingFromStore() bool {
	for name, h := range e.models {
		if h.phase == loading && !e.inMemory[name] && !e.onDisk[name] {
			return true
		}
	}
	return false
}
