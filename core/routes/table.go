package routes

import (
	"bytes"
	"net"
	"slices"
	"strings"

	"toucanway/core/fleet"
)

// Table finds routes and services of one configuration; it is safe for concurrent use.
type Table struct {
	Configuration *Configuration
	routes        map[string]map[string]*Route
	models        map[fleet.ServiceID]map[fleet.ModelID]*Model
}

// NewTable indexes a checked configuration.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Configuration: c, routes: map[string]map[string]*Route{}, models: map[fleet.ServiceID]map[fleet.ModelID]*Model{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := hostKey(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.Prefix] = r
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Engine == nil {
			continue
		}
		models := make(map[fleet.ModelID]*Model, len(s.Engine.Models))
		for j := range s.Engine.Models {
			models[s.Engine.Models[j].Name] = &s.Engine.Models[j]
		}
		t.models[s.Name] = models
	}
	return t
}

// hostKey normalizes a host name for comparison: lower case, without a port.
func hostKey(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Match returns the route of a host whose prefix is the longest one that matches the path, or nil. Prefixes end with a slash.
func (t *Table) Match(host, path string) *Route { return t.MatchBytes([]byte(host), []byte(path)) }

// MatchBytes is Match without allocations if the host has neither a port nor upper-case letters.
func (t *Table) MatchBytes(host, path []byte) *Route {
	prefixes := t.routes[string(host)]
	if prefixes == nil || bytes.IndexByte(host, ':') >= 0 {
		prefixes = t.routes[hostKey(string(host))]
	}
	for end := len(path); end > 0; {
		i := bytes.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if r := prefixes[string(path[:i+1])]; r != nil {
			return r
		}
		end = i
	}
	return nil
}

// Model returns a model of a service's engines, or nil if there is none.
func (t *Table) Model(service fleet.ServiceID, model fleet.ModelID) *Model {
	return t.models[service][model]
}

// PickService returns a service by weight, given a number drawn uniformly from [0, 1).
func (r *Route) PickService(draw float64) fleet.ServiceID {
	// The weights are divided by the largest one, since the sum of large weights may be infinite.
	largest, total := 0.0, 0.0
	for _, s := range r.Services {
		largest = max(largest, s.Weight)
	}
	for _, s := range r.Services {
		total += s.Weight / largest
	}
	remaining := draw * total
	for _, s := range r.Services {
		if remaining -= s.Weight / largest; remaining < 0 {
			return s.Service
		}
	}
	for _, s := range r.Services {
		if s.Weight > 0 {
			return s.Service
		}
	}
	return ""
}

// HasService reports whether the route may send requests to a service.
func (r *Route) HasService(s fleet.ServiceID) bool {
	return slices.ContainsFunc(r.Services, func(w WeightedService) bool { return w.Service == s })
}
