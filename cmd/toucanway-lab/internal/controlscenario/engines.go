package controlscenario

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/core/routes"
)

// service is the name of the engines' service, and models are what they may load.
const service fleet.ServiceID = "llm"

var models = []routes.Model{
	{Name: "m0", Weights: 10, StoreLoad: time.Second, DiskLoad: time.Second, MemoryLoad: time.Second},
	{Name: "m1", Weights: 10, StoreLoad: time.Second, DiskLoad: time.Second, MemoryLoad: time.Second},
}

// engines stand for all engines of a deployment, which do not compare fencing tokens. They are safe for concurrent use.
type engines struct {
	w  *world
	mu sync.Mutex
	// states are the engines by id.
	states map[fleet.BackendID]*engineState
}

type engineState struct {
	accepted int64
	models   []registry.Model
	holder   fleet.HostID
	fence    fleet.Fence
	at       time.Time
	orders   int
}

// Order takes an order and checks who gave the one before.
func (e *engines) Order(_ context.Context, o residency.Order, fence fleet.Fence, holder fleet.HostID) residency.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(o.Engine)
	if s.holder != "" && s.holder != holder && time.Since(s.at) < handover {
		e.w.violate("engine %s was ordered by %s %v after %s", o.Engine, holder, time.Since(s.at), s.holder)
	}
	if fence < s.fence || s.holder != "" && s.holder != holder && fence == s.fence {
		e.w.violate("engine %s was ordered by %s with token %d after %d of %s", o.Engine, holder, fence, s.fence, s.holder)
	}
	s.holder, s.fence, s.at = holder, fence, time.Now()
	s.orders++
	if o.Expected != s.accepted {
		return residency.Conflicting
	}
	s.accepted++
	switch o.Kind {
	case fleet.OrderLoad:
		s.models = append(s.models, registry.Model{Name: o.Target.Model})
	case fleet.OrderUnload:
		s.models = slices.DeleteFunc(s.models, func(m registry.Model) bool { return m.Name == o.Target.Model })
	case fleet.OrderLoadAdapter, fleet.OrderUnloadAdapter, fleet.OrderRole:
	}
	return residency.Accepted
}

// Report tells what an engine holds.
func (e *engines) Report(_ context.Context, p residency.Probe) (residency.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(p.Engine)
	return residency.Report{Accepted: s.accepted, Models: slices.Clone(s.models)}, nil
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

// orders returns the number of orders that an engine has taken, and who gave the last one.
func (e *engines) orders(id fleet.BackendID) (int, fleet.HostID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(id)
	return s.orders, s.holder
}
