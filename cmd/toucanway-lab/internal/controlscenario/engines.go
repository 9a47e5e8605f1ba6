package controlscenario

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/core/routes"
)

// service is the name of the engines' service, and models are the models that they may load.
const service fleet.ServiceID = "llm"

var models = []routes.Model{
	{Name: "m0", Weights: 10, StoreLoad: time.Second, DiskLoad: time.Second, MemoryLoad: time.Second},
	{Name: "m1", Weights: 10, StoreLoad: time.Second, DiskLoad: time.Second, MemoryLoad: time.Second},
}

// engines simulates all engines of a deployment. They accept orders with any fencing token. It is safe for concurrent use.
type engines struct {
	w  *simulation
	mu sync.Mutex
	// states are the states of the engines by id.
	states map[fleet.BackendID]*engineState
	// pause returns the time for which a host stands still while it opens the connection for an order; nil means none. paused is
	// the number of orders that were held up so.
	pause  func() time.Duration
	paused int
}

// engineState is the state of one simulated engine. The fields holder, fence and orderedAt are those of its last order.
type engineState struct {
	accepted  int64
	models    []registry.Model
	holder    fleet.HostID
	fence     fleet.Fence
	orderedAt time.Time
	// orderCount is the number of orders received, callCount that of orders and requests for reports.
	orderCount, callCount int
	// notice is part of all answers of the engine.
	notice holdoff.Notice
}

// Order carries out an order. It records a violation if another host has sent one within the handover time, or if the fencing
// token is stale.
func (e *engines) Order(
	_ context.Context, o residency.Order, fence fleet.Fence, holder fleet.HostID, permitted func() bool,
) (residency.Outcome, holdoff.Notice) {
	e.mu.Lock()
	var pause time.Duration
	if e.pause != nil {
		pause = e.pause()
	}
	if pause > 0 {
		e.paused++
	}
	e.mu.Unlock()
	time.Sleep(pause)
	if !permitted() {
		return residency.Unreachable, holdoff.Notice{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(o.Engine)
	if s.holder != "" && s.holder != holder && time.Since(s.orderedAt) < handover {
		e.w.addViolation("engine %s got an order from %s only %v after one from %s", o.Engine, holder, time.Since(s.orderedAt), s.holder)
	}
	if fence < s.fence || s.holder != "" && s.holder != holder && fence == s.fence {
		e.w.addViolation("engine %s got an order from %s with token %d after token %d from %s", o.Engine, holder, fence, s.fence, s.holder)
	}
	s.holder, s.fence, s.orderedAt = holder, fence, time.Now()
	s.orderCount++
	s.callCount++
	if o.Expected != s.accepted {
		return residency.Conflicting, s.notice
	}
	s.accepted++
	switch o.Kind {
	case fleet.OrderLoad:
		s.models = append(s.models, registry.Model{Name: o.Target.Model})
	case fleet.OrderUnload:
		s.models = slices.DeleteFunc(s.models, func(m registry.Model) bool { return m.Name == o.Target.Model })
	case fleet.OrderLoadAdapter, fleet.OrderUnloadAdapter, fleet.OrderRole:
	}
	return residency.Accepted, s.notice
}

// Report returns the number of accepted orders and the loaded models of an engine.
func (e *engines) Report(_ context.Context, p residency.Probe) (residency.Report, holdoff.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(p.Engine)
	s.callCount++
	return residency.Report{Accepted: s.accepted, Models: slices.Clone(s.models)}, s.notice, nil
}

// state returns an engine's state; e.mu is held.
func (e *engines) state(id fleet.BackendID) *engineState {
	s := e.states[id]
	if s == nil {
		s = &engineState{}
		e.states[id] = s
	}
	return s
}

// orders returns the number of orders that an engine has received, and the host that sent the last one.
func (e *engines) orders(id fleet.BackendID) (int, fleet.HostID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(id)
	return s.orderCount, s.holder
}

// setNotice sets the notice that is part of all answers of an engine from now on.
func (e *engines) setNotice(id fleet.BackendID, n holdoff.Notice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state(id).notice = n
}

// calls returns the number of orders and requests for reports that an engine has received.
func (e *engines) calls(id fleet.BackendID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state(id).callCount
}
