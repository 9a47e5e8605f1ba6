package catalog

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("catalog")

// ErrCorrupt reports bytes that are not a valid snapshot of this version.
var ErrCorrupt = Errors.NewType("corrupt")

// Command is one entry of the log; exactly one field is set.
type Command struct {
	Replace    *Replace    `cbor:"1,keyasint,omitempty"`
	SetOrderer *SetOrderer `cbor:"2,keyasint,omitempty"`
	// AddSoftware and RemoveSoftware change the software versions of a service.
	AddSoftware    *Software `cbor:"3,keyasint,omitempty"`
	RemoveSoftware *Software `cbor:"4,keyasint,omitempty"`
	// AddDeparture adds a departure, RemoveDepartures removes those of the given incarnations.
	AddDeparture     *registry.Instance         `cbor:"5,keyasint,omitempty"`
	RemoveDepartures []fleet.BackendIncarnation `cbor:"6,keyasint,omitempty"`
}

// Replace replaces the configuration in force if the new version is higher.
type Replace struct {
	Version routes.Version `cbor:"1,keyasint"`
	// Data is the configuration as the operator sent it.
	Data []byte `cbor:"2,keyasint"`
}

// SetOrderer sets the host that sends orders to backend servers from now on.
type SetOrderer struct {
	Host fleet.HostID `cbor:"1,keyasint"`
}

// Software is a software version of a service's backend servers.
type Software struct {
	Service fleet.ServiceID       `cbor:"1,keyasint"`
	Version fleet.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

// State is the replicated state.
type State struct {
	Version routes.Version `cbor:"1,keyasint,omitempty"`
	Data    []byte         `cbor:"2,keyasint,omitempty"`
	// Orderer is the last host that was chosen to send orders to backend servers.
	Orderer fleet.HostID `cbor:"3,keyasint,omitempty"`
	// Software holds the sorted software versions of each service whose servers entry hosts may have used lately. It is replaced and never
	// changed in place, since readers keep it.
	Software map[fleet.ServiceID][]fleet.SoftwareVersion `cbor:"4,keyasint,omitempty"`
	// Departures holds, for each backend server that has told that it drains or leaves, the newest incarnation that has done so. It is
	// replaced and never changed in place, since readers keep it.
	Departures map[fleet.BackendID]registry.Instance `cbor:"5,keyasint,omitempty"`
}

// HasConfiguration reports whether there is a configuration. Its version may be 0.
func (s *State) HasConfiguration() bool { return len(s.Data) > 0 }

// Has reports whether a version or a higher one is in force.
func (s *State) Has(v routes.Version) bool { return s.HasConfiguration() && s.Version >= v }

// HasDeparture reports whether it is on record that an incarnation of a backend server has the state or a later one.
func (s *State) HasDeparture(b fleet.BackendIncarnation, state registry.State) bool {
	d, ok := s.Departures[b.Backend]
	return ok && (d.Incarnation > b.Incarnation || d.Incarnation == b.Incarnation && d.State >= state)
}

// Machine applies the log; it implements raft.StateMachine and is not safe for concurrent use.
type Machine struct {
	State State
}

var _ raft.StateMachine = (*Machine)(nil)

// Encode returns the encoded form of a command, as it is stored in the log.
func Encode(c Command) ([]byte, error) { return cbor.Marshal(c) }

// Apply applies one log entry and returns nil; entries that can't be decoded change nothing.
func (m *Machine) Apply(_ fleet.Index, entry []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(entry, &c); err != nil {
		return nil
	}
	if r := c.Replace; r != nil && !m.State.Has(r.Version) {
		m.State.Version, m.State.Data = r.Version, r.Data
	}
	if o := c.SetOrderer; o != nil {
		m.State.Orderer = o.Host
	}
	if s := c.AddSoftware; s != nil {
		list := m.State.Software[s.Service]
		if i, known := slices.BinarySearch(list, s.Version); !known {
			m.setSoftware(s.Service, slices.Insert(slices.Clone(list), i, s.Version))
		}
	}
	if s := c.RemoveSoftware; s != nil {
		list := m.State.Software[s.Service]
		if i, known := slices.BinarySearch(list, s.Version); known {
			m.setSoftware(s.Service, slices.Delete(slices.Clone(list), i, i+1))
		}
	}
	if d := c.AddDeparture; d != nil && !m.State.HasDeparture(fleet.BackendIncarnation{Backend: d.ID, Incarnation: d.Incarnation}, d.State) {
		m.State.Departures = maps.Clone(m.State.Departures)
		if m.State.Departures == nil {
			m.State.Departures = map[fleet.BackendID]registry.Instance{}
		}
		m.State.Departures[d.ID] = *d
	}
	if len(c.RemoveDepartures) > 0 {
		m.State.Departures = maps.Clone(m.State.Departures)
		for _, b := range c.RemoveDepartures {
			if m.State.Departures[b.Backend].Incarnation == b.Incarnation {
				delete(m.State.Departures, b.Backend)
			}
		}
	}
	return nil
}

// setSoftware replaces the software versions of a service.
func (m *Machine) setSoftware(s fleet.ServiceID, list []fleet.SoftwareVersion) {
	all := maps.Clone(m.State.Software)
	if all == nil {
		all = map[fleet.ServiceID][]fleet.SoftwareVersion{}
	}
	if all[s] = list; len(list) == 0 {
		delete(all, s)
	}
	m.State.Software = all
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) { return cbor.Marshal(m.State) }

// Restore replaces the state by an encoded one.
func (m *Machine) Restore(_ fleet.Index, snapshot []byte) error {
	var s State
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return ErrCorrupt.Wrap(err, "snapshot can't be decoded; replace this host by one with an empty data folder")
	}
	m.State = s
	return nil
}
