package residency

import (
	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// maxFormerModels is the number of models that no configuration in force declares from which the sizes of those that no engine holds are dropped.
const maxFormerModels = 1024

// modelKey is a model of a service.
type modelKey struct {
	service fleet.ServiceID
	model   fleet.ModelID
}

// modelSize is the memory that a model takes at an engine.
type modelSize struct {
	// weights is the memory of the weights, adapter that of each adapter.
	weights, adapter fleet.Bytes
}

// modelSizes holds the sizes of models as they were last declared. An engine holds what it was ordered to load, also when a later configuration
// declares the model no more.
type modelSizes map[modelKey]modelSize

// declare takes over the sizes of a configuration. held reports whether an engine holds a model.
func (s modelSizes) declare(c *routes.Configuration, held func(modelKey) bool) {
	declared := map[modelKey]bool{}
	for i := range c.Services {
		svc := &c.Services[i]
		if svc.Engine == nil {
			continue
		}
		for _, m := range svc.Engine.Models {
			k := modelKey{svc.Name, m.Name}
			declared[k] = true
			s[k] = modelSize{m.Weights, m.AdapterSize}
		}
	}
	if len(s)-len(declared) <= maxFormerModels {
		return
	}
	for k := range s {
		if !declared[k] && !held(k) {
			delete(s, k)
		}
	}
}

// Successor returns a planner without engines that knows the sizes of models that this one knows, for the next leadership of a host.
func (p *Planner) Successor() *Planner {
	next := New(p.cfg)
	next.sizes = p.sizes
	return next
}

// holds reports whether an engine of a service holds a model.
func (p *Planner) holds(k modelKey) bool {
	for _, e := range p.engines {
		if e.Service == k.service && e.models[k.model] != nil {
			return true
		}
	}
	return false
}

// setSize sets the size of a model at an engine as it was last declared. It stays as it is if this host has heard of no declaration.
func (p *Planner) setSize(e *engine, name fleet.ModelID, h *modelState) {
	if size, ok := p.sizes[modelKey{e.Service, name}]; ok {
		h.size = &size
	}
}

// memory returns the memory of a model with its adapters, and false if its size is not known.
func (h *modelState) memory() (fleet.Bytes, bool) {
	if h.size == nil {
		return 0, false
	}
	return h.size.weights + fleet.Bytes(len(h.adapters))*h.size.adapter, true
}

// usedMemory returns the memory in use by models and adapters, including those that are being loaded or unloaded. Models of unknown size take
// what the others leave, since each of them may be that large.
func (e *engine) usedMemory() fleet.Bytes {
	sum, isKnown := e.knownMemory()
	if !isKnown {
		return max(sum, e.spec.Weights)
	}
	return sum
}

// knownMemory returns the memory of the models of known size, and whether these are all.
func (e *engine) knownMemory() (sum fleet.Bytes, isKnown bool) {
	isKnown = true
	for _, h := range e.models {
		n, ok := h.memory()
		sum += n
		isKnown = isKnown && ok
	}
	return sum, isKnown
}

// modelOfUnknownSize returns a loaded model whose size is not known, the first one by name, and whether there is one.
func (e *engine) modelOfUnknownSize() (first fleet.ModelID, ok bool) {
	for name, h := range e.models {
		if h.size == nil && h.phase == loaded && (!ok || name < first) {
			first, ok = name, true
		}
	}
	return first, ok
}
