package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

// phase is the state of a model in an engine's memory.
type phase uint8

const (
	loaded phase = iota
	loading
	unloading
)

// modelState is a model that is loaded in an engine's memory, being loaded or being unloaded.
type modelState struct {
	phase   phase
	version int
	// size is nil if it is not known.
	size     *modelSize
	adapters map[fleet.AdapterID]*adapter
	// loadedAt is the time at which the load began or was completed, or at which the loaded model was first reported.
	loadedAt time.Time
}

type adapter struct {
	// readyAt is the time from which the adapter can serve requests.
	readyAt  time.Time
	lastUsed time.Time
}

// engine is one incarnation of a model engine.
type engine struct {
	registry.Instance
	spec *routes.Engine
	// accepted is the number of orders that the engine has accepted. It is valid only if stateKnown is set; otherwise the engine
	// is in doubt.
	accepted   int64
	stateKnown bool
	// callInFlight is set while an order or a probe is in flight.
	callInFlight bool
	// pending is the order for a model that the engine has accepted at pendingAt and not completed yet.
	pending   *Order
	pendingAt time.Time
	// storeLoadsAtStart is the number of loads from the weight store that were under way when the engine's own began, with it, and
	// storeLoadsAtOnce the largest number during it.
	storeLoadsAtStart, storeLoadsAtOnce int
	// unknownBusyReports is the number of reports in a row in which the engine carried out an order that this host has not sent.
	unknownBusyReports int
	// notBefore is the earliest time of the next order or probe.
	notBefore time.Time
	// pausedUntil is the end of the time for which the engine wants no orders and probes from this host.
	pausedUntil time.Time
	models      map[fleet.ModelID]*modelState
	inMemory    map[fleet.ModelID]bool
	onDisk      map[fleet.ModelID]bool
	// mismatches is the number of heartbeats in a row that reported other models than expected.
	mismatches int
	// goal is the model to be loaded next, once enough other models are evicted. It was set at goalAt, or its last eviction was
	// ordered then; goalReason is the reason for the load.
	goal       fleet.ModelID
	goalAt     time.Time
	goalReason string
	// suspect is set while an entry host reports that it can't reach the engine, lastCallFailed if the last call from this host
	// failed.
	suspect, lastCallFailed bool
	// inFlightByModel is the number of requests that hosts have in flight at the engine by model, inFlightByTarget the number by
	// model and adapter.
	inFlightByModel  map[fleet.ModelID]int
	inFlightByTarget map[fleet.Target]int
}

// usable reports whether the engine can serve requests, as far as this host knows.
func (e *engine) usable() bool {
	return e.State == registry.Ready && !e.Silent && !e.suspect && !e.lastCallFailed
}

func (e *engine) adapterCount() int {
	n := 0
	for _, h := range e.models {
		n += len(h.adapters)
	}
	return n
}

// servingModels returns the models and adapters that are ready for requests.
func (e *engine) servingModels(now time.Time) []registry.Model {
	var out []registry.Model
	for name, h := range e.models {
		if h.phase != loaded {
			continue
		}
		m := registry.Model{Name: name, Version: h.version}
		for a, x := range h.adapters {
			if !now.Before(x.readyAt) {
				m.Adapters = append(m.Adapters, a)
			}
		}
		slices.Sort(m.Adapters)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b registry.Model) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// loadTime returns the load time of a model and whether the load fetches from the weight store.
func (e *engine) loadTime(m *routes.Model) (time.Duration, bool) {
	switch {
	case e.inMemory[m.Name]:
		return m.MemoryLoad, false
	case e.onDisk[m.Name]:
		return m.DiskLoad, false
	default:
		return m.StoreLoad, true
	}
}

func (e *engine) inFlight() int {
	n := 0
	for _, k := range e.inFlightByModel {
		n += k
	}
	return n
}

// mayBeCalled reports whether an order or a probe may be sent to the engine now, as far as earlier ones tell.
func (e *engine) mayBeCalled(now time.Time) bool {
	return !e.callInFlight && !now.Before(e.notBefore) && !now.Before(e.pausedUntil)
}

// setInFlight replaces the numbers of requests in flight.
func (e *engine) setInFlight(running map[fleet.Target]int) {
	e.inFlightByTarget, e.inFlightByModel = running, map[fleet.ModelID]int{}
	for t, n := range running {
		e.inFlightByModel[t.Model] += n
	}
}

// replaceModels replaces the loaded models by those that the engine reports. Times of use and a pending unload are kept.
func (p *Planner) replaceModels(now time.Time, e *engine, models []registry.Model) {
	previous := e.models
	e.models = make(map[fleet.ModelID]*modelState, len(models))
	for _, m := range models {
		h := p.newModelState(now, e, m.Name)
		h.version = m.Version
		for _, a := range m.Adapters {
			h.adapters[a] = &adapter{lastUsed: now}
		}
		if w := previous[m.Name]; w != nil {
			h.loadedAt = w.loadedAt
			for a, x := range w.adapters {
				if y := h.adapters[a]; y != nil {
					y.lastUsed = x.lastUsed
				}
			}
			if w.phase == unloading && e.pending != nil && e.pending.Target.Model == m.Name {
				h.phase = unloading
			}
		}
		e.models[m.Name] = h
	}
}

// newModelState returns the state of a model that an engine has loaded or is to load.
func (p *Planner) newModelState(now time.Time, e *engine, name fleet.ModelID) *modelState {
	h := &modelState{adapters: map[fleet.AdapterID]*adapter{}, loadedAt: now}
	p.setSize(e, name, h)
	return h
}
