package checker

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
)

type life struct {
	backend     fleet.BackendID
	incarnation fleet.Incarnation
}

// decision is a decided load with the target at that time.
type decision struct {
	history.LoadDecided
	target  int
	started bool
}

// replicas checks I1 and I2: each load carries out a decision of its own, the loaded replicas of a model are no more
// than its target, or its target at the time of the decision, and memory is never exceeded.
func (c *checker) replicas() {
	targets := map[fleet.ModelID]int{}
	decisions := map[fleet.OrderID]*decision{}
	loaded := map[fleet.ModelID]map[life]bool{}
	for _, r := range c.records {
		switch e := r.Event.(type) {
		case history.TargetDecided:
			targets[e.Model] = e.Count
		case history.LoadDecided:
			decisions[e.Order] = &decision{LoadDecided: e, target: targets[e.Model]}
		case history.LoadStarted:
			if loaded[e.Model] == nil {
				loaded[e.Model] = map[life]bool{}
			}
			c.loadStarted(r.At, e, decisions[e.Order], loaded[e.Model], targets[e.Model])
		case history.LoadEnded:
			if !e.Ready {
				delete(loaded[e.Model], life{e.Backend, e.Incarnation})
			}
		case history.Unloaded:
			delete(loaded[e.Model], life{e.Backend, e.Incarnation})
		case history.BackendStopped:
			for _, lives := range loaded {
				delete(lives, life{e.Backend, e.Incarnation})
			}
		case history.MemoryPeak:
			if e.Used > e.Total {
				c.report(I2, r.At, "backend server %s uses %d of %d bytes", e.Backend, e.Used, e.Total)
			}
		}
	}
}

func (c *checker) loadStarted(at time.Duration, e history.LoadStarted, d *decision, loaded map[life]bool, target int) {
	loaded[life{e.Backend, e.Incarnation}] = true
	switch {
	case d == nil:
		c.report(I1, at, "order %d to load %s on %s was never decided", e.Order, e.Model, e.Backend)
		return
	case d.Model != e.Model || d.Backend != e.Backend:
		c.report(I1, at, "order %d was decided for %s on %s, and loads %s on %s", e.Order, d.Model, d.Backend, e.Model, e.Backend)
	case d.started:
		c.report(I1, at, "order %d to load %s on %s is carried out twice", e.Order, e.Model, e.Backend)
	}
	d.started = true
	if allowed := max(target, d.target); len(loaded) > allowed {
		c.report(I1, at, "%d replicas of %s are loaded and %d decided", len(loaded), e.Model, allowed)
	}
}

// backends checks I7: a backend server that leaves gets no new work after LeaveLimit.
func (c *checker) backends() {
	left := map[life]time.Duration{}
	current := map[fleet.BackendID]fleet.Incarnation{}
	for _, r := range c.records {
		switch e := r.Event.(type) {
		case history.BackendStarted:
			current[e.Backend] = e.Incarnation
		case history.BackendLeft:
			if _, ok := left[life{e.Backend, e.Incarnation}]; !ok {
				left[life{e.Backend, e.Incarnation}] = r.At
			}
		case history.RequestRun:
			c.newWork(left, life{e.Backend, e.Incarnation}, r.At-e.Waited, e.Request)
		case history.RequestDispatched:
			c.newWork(left, life{e.Backend, current[e.Backend]}, r.At, e.Request)
		}
	}
}

func (c *checker) newWork(left map[life]time.Duration, l life, at time.Duration, id fleet.RequestID) {
	if since, ok := left[l]; ok && at > since+LeaveLimit {
		c.report(I7, at, "backend server %s gets request %s %v after it left", l.backend, id, at-since)
	}
}
