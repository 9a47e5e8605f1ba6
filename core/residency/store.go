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

// observe records a completed load, its announced duration at full speed, and the numbers of loads under way when it began and at most
// meanwhile. A load at full speed shows only that the store serves the loads with which it began: a store may slow down those that begin
// later and not the ones before them.
func (s *storeSpeed) observe(took, announced time.Duration, atStart, atOnce int) {
	if announced <= 0 || atOnce < 1 {
		return
	}
	ratio := float64(took) / float64(announced)
	switch {
	case ratio > fullSpeedRatio:
		s.limit = max(int(math.Round(float64(atOnce)/ratio)), 1)
	case atStart >= s.limit:
		s.limit = min(atStart+1, maxConcurrentStoreLoads)
	}
}

// countStoreLoads updates what storeAllowsLoad depends on, once for each planning pass.
func (p *Planner) countStoreLoads(now time.Time) {
	p.storeLoads = slices.DeleteFunc(p.storeLoads, func(t time.Time) bool { return now.Sub(t) >= p.cfg.StoreWindow })
	p.storeTaken, p.storeRate = 0, 0
	for _, e := range p.engines {
		if e.spec != nil {
			p.storeRate = max(p.storeRate, e.spec.StoreRate)
		}
		if e.usesStore() || p.plansStoreLoad(e) {
			p.storeTaken++
		}
	}
}

// storeAllowsLoad reports whether the limits of the weight store allow a load from it to start at an engine now. Other engines that
// still evict models for such a load hold a place, since a load that takes it would leave them without the evicted models as well.
func (p *Planner) storeAllowsLoad(at *engine) bool {
	taken := p.storeTaken
	if p.plansStoreLoad(at) {
		taken--
	}
	limit := min(p.store.limit, max(len(p.engines)/minEnginesPerStoreLoad, 1))
	return taken < limit && float64(len(p.storeLoads)+1) <= p.storeRate*p.cfg.StoreWindow.Seconds()*p.cfg.StoreShare
}

// usesStore reports whether an engine loads a model from the weight store, or carries out an order of an earlier leader that takes
// as long as such a load.
func (e *engine) usesStore() bool {
	return e.pending != nil && e.pending.FromStore || e.callInFlight && e.pending == nil && e.loadingFromStore() ||
		e.unknownBusyReports >= minUnknownBusyReports
}

// minUnknownBusyReports is the number of reports in a row in which an engine carries out an order of an earlier leader, from
// which that order is a load from the weight store. Other orders for models take less time.
const minUnknownBusyReports = 3

// plansStoreLoad reports whether an engine's goal needs the weight store.
func (p *Planner) plansStoreLoad(e *engine) bool {
	if e.goal == "" || e.models[e.goal] != nil {
		return false
	}
	m := p.table.Model(e.Service, e.goal)
	if m == nil {
		return false
	}
	_, store := e.loadTime(m)
	return store
}

// activeStoreLoads returns the number of engines that load a model from the weight store.
func (p *Planner) activeStoreLoads() int {
	n := 0
	for _, e := range p.engines {
		if e.usesStore() {
			n++
		}
	}
	return n
}

// recordStoreLoad records that a load from the weight store begins at an engine.
func (p *Planner) recordStoreLoad(now time.Time, e *engine) {
	p.storeLoads = append(p.storeLoads, now)
	n := p.activeStoreLoads() + 1
	e.storeLoadsAtStart, e.storeLoadsAtOnce = n, n
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
