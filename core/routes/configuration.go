package routes

import (
	"time"

	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("routes")

// ErrInvalid reports a configuration that contradicts itself and must not be applied.
var ErrInvalid = Errors.NewType("invalid")

// Version orders configurations; the highest one is in force.
type Version uint64

// Kind says whether a route's requests may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a series of events and run at most once unless the route is resumable.
	Streaming
)

// WeightedService is a service with the weight of its share of a route's requests.
type WeightedService struct {
	Service fleet.ServiceID
	Weight  float64
}

// Route assigns requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait; Objective is the time within which an answer counts as on time.
	Timeout, Objective time.Duration
	// GapObjective is the longest gap between the events of an answer that counts as on time.
	GapObjective time.Duration
	// Priority ranks routes; 0 is served first.
	Priority int
	// Services lists the services with their weights, whose sum is above 0. A route without configured weights has one service.
	Services []WeightedService
	// Unused is a service that the route names beside its weighted ones, empty if there is none. It gets no requests, but must exist.
	Unused fleet.ServiceID
	// MaxAttempts is the number of backend servers to which one request of a caller may be sent.
	MaxAttempts int
	// PrefixAffinity is set if requests share prompt prefixes, so that they are best sent to servers that have them cached.
	PrefixAffinity bool
	// Resumable is set if a broken stream may continue at another backend server.
	Resumable bool
	// Public is set if requests need no key of a client account.
	Public bool
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Model describes a model that engines may load.
type Model struct {
	Name    fleet.ModelID
	Weights fleet.Bytes
	// StoreLoad, DiskLoad and MemoryLoad are the load times from the weight store and from an engine's copies on disk and in
	// memory.
	StoreLoad, DiskLoad, MemoryLoad time.Duration
	// Adapters is the number of adapters, AdapterSize the size of each.
	Adapters    int
	AdapterSize fleet.Bytes
}

// Engine describes the model engines of a service.
type Engine struct {
	// Weights is the memory for model weights and adapters together; AdapterSlots bounds the number of loaded adapters.
	Weights      fleet.Bytes
	AdapterSlots int
	// StoreRate is the number of loads per second that the weight store allows for all engines together.
	StoreRate float64
	// Slots is the number of requests that an engine runs at once, KVCapacity the number of tokens that its memory holds for them
	// together; 0 means that it is not known.
	Slots      int
	KVCapacity fleet.Tokens
	// FetchesPrefixes is set if an engine can fetch the parts of a prompt that another engine has in its KV cache.
	FetchesPrefixes bool
	Models          []Model
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name fleet.ServiceID
	// Engine is nil for a plain service, whose servers have no models.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is one version of all settings that operators can change at run time.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts lists the client accounts; if it is empty, requests need no key.
	Accounts []Account
}

// Service returns a service by name, or nil if there is none.
func (c *Configuration) Service(name fleet.ServiceID) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Check returns an ErrInvalid that describes the first contradiction, or nil.
func (c *Configuration) Check() error {
	type routeKey struct{ host, prefix string }
	services := make(map[fleet.ServiceID]bool, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = true
	}
	seen := make(map[routeKey]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		key := routeKey{hostKey(r.Host), r.Prefix}
		if other, dup := seen[key]; dup {
			return ErrInvalid.New("routes %q and %q have the same host and path prefix; change one of them", other, r.Name)
		}
		seen[key] = r.Name
		if err := r.check(services); err != nil {
			return err
		}
	}
	return c.checkAccounts()
}

func (r *Route) check(services map[fleet.ServiceID]bool) error {
	if r.Timeout <= 0 {
		return ErrInvalid.New("route %q has no timeout; set one above 0", r.Name)
	}
	total := 0.0
	for _, s := range r.Services {
		if !services[s.Service] {
			return ErrInvalid.New("route %q leads to the unknown service %q; declare the service", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return ErrInvalid.New("route %q has a negative weight; set it to 0 or more", r.Name)
		}
		total += s.Weight
	}
	if r.Unused != "" && !services[r.Unused] {
		return ErrInvalid.New("route %q names the unknown service %q; declare the service or leave it out", r.Name, r.Unused)
	}
	if total <= 0 {
		return ErrInvalid.New("the weights of route %q add up to 0; raise one of them", r.Name)
	}
	return nil
}
