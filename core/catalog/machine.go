package catalog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
	"toucanway/core/raft"
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

// State is the replicated state.
type State struct {
	Version routes.Version `cbor:"1,keyasint,omitempty"`
	Data    []byte         `cbor:"2,keyasint,omitempty"`
	// Orderer is the last host that was chosen to send orders to backend servers.
	Orderer fleet.HostID `cbor:"3,keyasint,omitempty"`
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
	if r := c.Replace; r != nil && r.Version > m.State.Version {
		m.State.Version, m.State.Data = r.Version, r.Data
	}
	if o := c.SetOrderer; o != nil {
		m.State.Orderer = o.Host
	}
	return nil
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
