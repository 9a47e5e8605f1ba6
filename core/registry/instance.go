package registry

import (
	"slices"

	"toucanway/core/fleet"
)

// State is the readiness that a backend server reports.
type State uint8

// States of instances, in the order in which one incarnation passes through them.
const (
	Ready State = iota
	// Draining instances finish their requests and take no new ones.
	Draining
	// Gone instances have left or were displaced from their address; they are kept as tombstones for Settings.Retention.
	Gone
)

// String returns the state's name.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Model is a loaded model with its loaded adapters.
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
	// Models lists the models that take requests; a model that is being unloaded is not among them.
	Models []Model `cbor:"8,keyasint,omitempty"`
	// Silent is set if the instance has sent no heartbeat for Settings.SilenceTimeout.
	Silent bool `cbor:"9,keyasint,omitempty"`
	// Software is the version of the instance's software; empty if it names none.
	Software fleet.SoftwareVersion `cbor:"12,keyasint,omitempty"`
	// Limit is the rate limit that the instance names in its answers.
	Limit fleet.RateLimit `cbor:"11,keyasint,omitzero"`
	// Revision is the registry's revision at the instance's last change.
	Revision uint64 `cbor:"10,keyasint"`
}

// Model returns the entry of a model, or nil if the instance hasn't loaded it.
func (i *Instance) Model(name fleet.ModelID) *Model {
	for k := range i.Models {
		if i.Models[k].Name == name {
			return &i.Models[k]
		}
	}
	return nil
}

// Serves reports whether the instance has loaded a target's model and adapter.
func (i *Instance) Serves(t fleet.Target) bool {
	m := i.Model(t.Model)
	return m != nil && (t.Adapter == "" || slices.Contains(m.Adapters, t.Adapter))
}

// Heartbeat is the state that a backend server reports in one heartbeat.
type Heartbeat struct {
	Instance Instance
	// Seq orders the heartbeats of one incarnation.
	Seq uint64
	// Engine is set if the heartbeat contains Models, InMemory and OnDisk.
	Engine bool
	// InMemory and OnDisk list the models whose weights the engine has a copy of in memory and on disk.
	InMemory, OnDisk []fleet.ModelID
}
