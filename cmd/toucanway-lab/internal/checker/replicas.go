package checker

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
)

// backendIncarnation is one incarnation of a backend server.
type backendIncarnation struct {
	backend     fleet.BackendID
	incarnation fleet.Incarnation
}

// decision is a decided load, with the target number of replicas at that time.
type decision struct {
	history.LoadDecided
	target  int
	started bool
}

// checkReplicas checks I1 and I2. Each load carries out a decision of its own. When a load starts, the loaded replicas of the
// model are no more than its target now or at the time of the decision. Memory is never exceeded.
func (c *checker) checkReplicas() {
	targets := map[fleet.ModelID]int{}
	decisions := map[fleet.OrderID]*decision{}
	loaded := map[fleet.ModelID]map[backendIncarnation]bool{}
	for _, r := range c.records {
		switch e := r.Event.(type) {
		case history.TargetDecided:
			targets[e.Model] = e.Count
		case history.LoadDecided:
			decisions[e.Order] = &decision{LoadDecided: e, target: targets[e.Model]}
		case history.LoadStarted:
			if loaded[e.Model] == nil {
				loaded[e.Model] = map[backendIncarnation]bool{}
			}
			c.checkLoad(r.At, e, decisions[e.Order], loaded[e.Model], targets[e.Model])
		case history.LoadEnded:
			if !e.Ready {
				delete(loaded[e.Model], backendIncarnation{e.Backend, e.Incarnation})
			}
		case history.Unloaded:
			delete(loaded[e.Model], backendIncarnation{e.Backend, e.Incarnation})
		case history.BackendStopped:
			for _, replicas := range loaded {
				delete(replicas, backendIncarnation{e.Backend, e.Incarnation})
			}
		case history.MemoryPeak:
			if e.Used > e.Total {
				c.report(I2, r.At, "backend server %s uses %d of %d bytes", e.Backend, e.Used, e.Total)
			}
		}
	}
}

func (c *checker) checkLoad(at time.Duration, e history.LoadStarted, d *decision, loaded map[backendIncarnation]bool, target int) {
	loaded[backendIncarnation{e.Backend, e.Incarnation}] = true
	switch {
	case d == nil:
		c.report(I1, at, "order %d to load %s on %s was never decided", e.Order, e.Model, e.Backend)
		return
	case d.Model != e.Model || d.Backend != e.Backend:
		c.report(I1, at, "order %d was decided for %s on %s but loads %s on %s", e.Order, d.Model, d.Backend, e.Model, e.Backend)
	case d.started:
		c.report(I1, at, "order %d to load %s on %s is carried out twice", e.Order, e.Model, e.Backend)
	}
	d.started = true
	if allowed := max(target, d.target); len(loaded) > allowed {
		c.report(I1, at, "%d replicas of %s are loaded but only %d were decided", len(loaded), e.Model, allowed)
	}
}

// checkBackends checks I7: a backend server that leaves gets no new requests after LeaveLimit.
func (c *checker) checkBackends() {
	leftAt := map[backendIncarnation]time.Duration{}
	current := map[fleet.BackendID]fleet.Incarnation{}
	for _, r := range c.records {
		switch e := r.Event.(type) {
		case history.BackendStarted:
			current[e.Backend] = e.Incarnation
		case history.BackendLeft:
			if _, ok := leftAt[backendIncarnation{e.Backend, e.Incarnation}]; !ok {
				leftAt[backendIncarnation{e.Backend, e.Incarnation}] = r.At
			}
		case history.RequestRun:
			c.checkNewRequest(leftAt, backendIncarnation{e.Backend, e.Incarnation}, r.At-e.Waited, e.Request)
		case history.RequestDispatched:
			c.checkNewRequest(leftAt, backendIncarnation{e.Backend, current[e.Backend]}, r.At, e.Request)
		}
	}
}

func (c *checker) checkNewRequest(leftAt map[backendIncarnation]time.Duration, b backendIncarnation, at time.Duration, id fleet.RequestID) {
	if since, ok := leftAt[b]; ok && at > since+LeaveLimit {
		c.report(I7, at, "backend server %s gets request %s %v after it left", b.backend, id, at-since)
	}
}
