package registry

import (
	"slices"

	"toucanway/core/fleet"
)

// State is what a backend server says of its readiness.
type State uint8

// States of instances, in the order that one incarnation passes through.
const (
	Ready State = iota
	// Draining instances finish their work and take no more.
	Draining
	// Gone instances have said that they leave; they are kept as tombstones for a while.
	Gone
)

// String returns the state's name.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Model is a model in an engine's memory with its adapters.
type Model struct {
	Name     fleet.ModelID     `cbor:"1,keyasint"`
	Version  int               `cbor:"2,keyasint,omitempty"`
	Adapters []fleet.AdapterID `cbor:"3,keyasint,omitempty"`
}

// Instance is one incarnation of a backend server.
type Instance struct {
	ID          fleet.BackendID   `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Service     fleet.ServiceID   `cbor:"3,keyasint"`
	Address     string            `cbor:"4,keyasint"`
	DataCentre  fleet.DataCentre  `cbor:"5,keyasint"`
	Slots       int               `cbor:"6,keyasint,omitempty"`
	State       State             `cbor:"7,keyasint,omitempty"`
	// Models are those that take requests; a model that is being unloaded is no longer among them.
	Models []Model `cbor:"8,keyasint,omitempty"`
	// Silent instances have sent no heartbeat for a while.
	Silent bool `cbor:"9,keyasint,omitempty"`
	// Revision is the registry's revision of the last change.
	Revision uint64 `cbor:"10,keyasint"`
}

// Model returns the entry of a model, nil if the instance doesn't hold it.
func (i *Instance) Model(name fleet.ModelID) *Model {
	for k := range i.Models {
		if i.Models[k].Name == name {
			return &i.Models[k]
		}
	}
	return nil
}

// Holds says whether the instance can serve a target.
func (i *Instance) Holds(t fleet.Target) bool {
	m := i.Model(t.Model)
	return m != nil && (t.Adapter == "" || slices.Contains(m.Adapters, t.Adapter))
}

// Heartbeat is what a backend server says of itself at one moment.
type Heartbeat struct {
	Instance Instance
	// Seq orders the heartbeats of one incarnation.
	Seq uint64
	// Engine says that Models, InMemory and OnDisk were given.
	Engine bool
	// InMemory and OnDisk are models whose weights the engine has copies of.
	InMemory, OnDisk []fleet.ModelID
}
