package residency

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

// phase is where a model stands in an engine's memory.
type phase uint8

const (
	held phase = iota
	loading
	unloading
)

// holding is a model in an engine's memory, or on its way there or out.
type holding struct {
	phase    phase
	version  int
	weights  fleet.Bytes
	adapter  fleet.Bytes
	adapters map[fleet.AdapterID]*adapter
	since    time.Time
}

type adapter struct {
	// ready is when the adapter can serve.
	ready time.Time
	used  time.Time
}

// engine is one incarnation of a model engine.
type engine struct {
	registry.Instance
	spec *routes.Engine
	// accepted is the number of orders that the engine has accepted; it is valid if known.
	accepted int64
	known    bool
	// calling says that an order or a probe is under way.
	calling bool
	// pending is the order for a model that the engine carries out, and since when.
	pending   *Order
	pendingAt time.Time
	// after is the earliest time of the next order or probe.
	after    time.Time
	models   map[fleet.ModelID]*holding
	inMemory map[fleet.ModelID]bool
	onDisk   map[fleet.ModelID]bool
	// differing counts the heartbeats in a row that told of other models.
	differing int
	// goal is a model to be loaded once its victims are gone.
	goal   fleet.ModelID
	goalAt time.Time
	reason string
	// suspect says that an entry host can't reach the engine at present, unreached that this one couldn't the last time.
	suspect, unreached bool
	// load is the number of requests that hosts have under way there, by model, and running that by model and adapter.
	load    map[fleet.ModelID]int
	running map[fleet.Target]int
}

// usable says whether the engine serves requests as far as known.
func (e *engine) usable() bool {
	return e.State == registry.Ready && !e.Silent && !e.suspect && !e.unreached
}

// taken returns the memory in use by models and adapters, also by those on their way.
func (e *engine) taken() fleet.Bytes {
	var sum fleet.Bytes
	for _, h := range e.models {
		sum += h.weights + fleet.Bytes(len(h.adapters))*h.adapter
	}
	return sum
}

func (e *engine) adapters() int {
	n := 0
	for _, h := range e.models {
		n += len(h.adapters)
	}
	return n
}

// published returns the models and adapters that take requests now.
func (e *engine) published(now time.Time) []registry.Model {
	var out []registry.Model
	for name, h := range e.models {
		if h.phase != held {
			continue
		}
		m := registry.Model{Name: name, Version: h.version}
		for a, x := range h.adapters {
			if !now.Before(x.ready) {
				m.Adapters = append(m.Adapters, a)
			}
		}
		slices.Sort(m.Adapters)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b registry.Model) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// loadTime returns how long a load takes and whether it fetches from the weight store.
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

// requests returns the requests under way at the engine.
func (e *engine) requests() int {
	n := 0
	for _, k := range e.load {
		n += k
	}
	return n
}

// setRunning takes over the requests under way.
func (e *engine) setRunning(running map[fleet.Target]int) {
	e.running, e.load = running, map[fleet.ModelID]int{}
	for t, n := range running {
		e.load[t.Model] += n
	}
}

// take replaces what the engine holds by its own account.
func (e *engine) take(now time.Time, spec modelSpecs, models []registry.Model) {
	was := e.models
	e.models = make(map[fleet.ModelID]*holding, len(models))
	for _, m := range models {
		h := spec.holding(now, m.Name)
		h.version = m.Version
		for _, a := range m.Adapters {
			h.adapters[a] = &adapter{used: now}
		}
		if w := was[m.Name]; w != nil {
			h.since = w.since
			for a, x := range w.adapters {
				if y := h.adapters[a]; y != nil {
					y.used = x.used
				}
			}
			if w.phase == unloading && e.pending != nil && e.pending.Target.Model == m.Name {
				h.phase = unloading
			}
		}
		e.models[m.Name] = h
	}
}

// modelSpecs finds the sizes of models.
type modelSpecs func(fleet.ModelID) *routes.Model

func (f modelSpecs) holding(now time.Time, name fleet.ModelID) *holding {
	h := &holding{adapters: map[fleet.AdapterID]*adapter{}, since: now}
	if m := f(name); m != nil {
		h.weights, h.adapter = m.Weights, m.Adapter
	}
	return h
}
