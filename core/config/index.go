package config

import (
	"slices"
	"strings"

	"toucanway/core/fleet"
)

// index holds the positions of a document's entries by name and by credential; Parse builds it once.
type index struct {
	models    map[fleet.ModelID]int
	adapters  map[fleet.Target]fleet.Bytes
	services  map[fleet.ServiceID]int
	tenants   map[fleet.TenantID]int
	callers   credentialIndex
	operators credentialIndex
}

func (d *Document) buildIndex() {
	d.index = index{
		models:   make(map[fleet.ModelID]int, len(d.Models)),
		adapters: map[fleet.Target]fleet.Bytes{},
		services: make(map[fleet.ServiceID]int, len(d.Services)),
		tenants:  make(map[fleet.TenantID]int, len(d.Callers.Tenants)),
	}
	for i, m := range d.Models {
		d.index.models[m.Name] = i
		for _, a := range m.Adapters {
			d.index.adapters[fleet.Target{Model: m.Name, Adapter: a.Name}] = a.Memory
		}
	}
	for i, s := range d.Services {
		d.index.services[s.Name] = i
	}
	for i, t := range d.Callers.Tenants {
		d.index.tenants[t.ID] = i
	}
	for i, c := range d.Callers.Callers {
		for _, h := range c.Credentials {
			d.index.callers.add(h, i)
		}
	}
	for i, o := range d.Owners.Operators {
		for _, h := range o.Credentials {
			d.index.operators.add(h, i)
		}
	}
}

// Model returns a declared model, or nil and false.
func (d *Document) Model(id fleet.ModelID) (*Model, bool) {
	i, ok := d.index.models[id]
	if !ok {
		return nil, false
	}
	return &d.Models[i], true
}

// AdapterMemory returns the memory of an adapter, and whether it is declared.
func (d *Document) AdapterMemory(t fleet.Target) (fleet.Bytes, bool) {
	b, ok := d.index.adapters[t]
	return b, ok
}

// HasTarget reports whether a model or one of its adapters is declared.
func (d *Document) HasTarget(t fleet.Target) bool {
	if t.Adapter == "" {
		_, ok := d.index.models[t.Model]
		return ok
	}
	_, ok := d.index.adapters[t]
	return ok
}

// Service returns a declared service, or nil and false.
func (d *Document) Service(id fleet.ServiceID) (*Service, bool) {
	i, ok := d.index.services[id]
	if !ok {
		return nil, false
	}
	return &d.Services[i], true
}

// Tenant returns a declared tenant, or nil and false.
func (d *Document) Tenant(id fleet.TenantID) (*Tenant, bool) {
	i, ok := d.index.tenants[id]
	if !ok {
		return nil, false
	}
	return &d.Callers.Tenants[i], true
}

// CallerByToken returns the caller that holds a bearer token, or nil and false.
func (d *Document) CallerByToken(token string) (*Caller, bool) {
	i, ok := d.index.callers.find(token)
	if !ok {
		return nil, false
	}
	return &d.Callers.Callers[i], true
}

// OperatorByToken returns the operator that holds a bearer token, or nil and false.
func (d *Document) OperatorByToken(token string) (*Operator, bool) {
	i, ok := d.index.operators.find(token)
	if !ok {
		return nil, false
	}
	return &d.Owners.Operators[i], true
}

// Owns reports whether an operator may change a section.
func (d *Document) Owns(id fleet.OperatorID, s Section) bool {
	for _, o := range d.Owners.Sections {
		if o.Section == s {
			return slices.Contains(o.Operators, id)
		}
	}
	return false
}

// ChecksFence reports whether a backend server refuses stale fencing tokens: as it announced, unless the document overrides it.
func (d *Document) ChecksFence(a fleet.Announcement) bool {
	for _, o := range d.Capacity.CheckFenceOverrides {
		if o.Backend == a.ID {
			return o.Checks
		}
	}
	return a.ChecksFence
}

// Idempotent reports whether a call may run more than once; calls without an entry may not.
func (s *Service) Idempotent(method, path string) bool {
	best, idempotent := -1, false
	for _, c := range s.Calls {
		if c.Method == method && len(c.PathPrefix) > best && isUnderPrefix(path, c.PathPrefix) {
			best, idempotent = len(c.PathPrefix), c.Idempotent
		}
	}
	return idempotent
}

// isUnderPrefix reports whether a path equals a prefix or lies below it in the hierarchy: /price does not cover /price-changes.
func isUnderPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
