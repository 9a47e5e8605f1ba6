package membership

import (
	"cmp"

	"toucanway/core/fleet"
)

// State is what a host holds of another one.
type State uint8

// States; of two records of the same version, the later state prevails.
const (
	Alive State = iota
	Suspect
	Dead
	// Left is the state of a host that said it leaves.
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// gone reports whether a host in this state is no longer probed.
func (s State) gone() bool { return s >= Dead }

// Version orders the records of one host: by life, then by the refutations within a life.
type Version struct {
	Life        fleet.Incarnation `cbor:"1,keyasint,omitempty"`
	Refutations uint32            `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or +1 as v is older than, the same as or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Life, other.Life), cmp.Compare(v.Refutations, other.Refutations))
}

// Update is a record of one host as hosts pass it on. Only records of a new life and answers to KindSync carry address
// and place.
type Update struct {
	Host    fleet.HostID `cbor:"1,keyasint"`
	Version Version      `cbor:"2,keyasint,omitzero"`
	State   State        `cbor:"3,keyasint,omitempty"`
	// By is the host that suspects, so that suspicions of several hosts are told apart.
	By      fleet.HostID `cbor:"4,keyasint,omitempty"`
	Address string       `cbor:"5,keyasint,omitempty"`
	Place   fleet.Place  `cbor:"6,keyasint,omitzero"`
}

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	// KindPing asks Target for an answer.
	KindPing Kind = iota + 1
	// KindPingRequest asks the receiver to ping Target.
	KindPingRequest
	// KindSync asks for the records in which the receiver's buckets differ.
	KindSync
	// KindAck answers a ping, also one made for another host.
	KindAck
	// KindNack says that Target did not answer the receiver of a KindPingRequest, or is not at this address.
	KindNack
	// KindSyncAck answers KindSync; Updates holds records of all states.
	KindSyncAck
)

// Message is exchanged between hosts; requests and answers have the same form.
type Message struct {
	Kind    Kind         `cbor:"1,keyasint"`
	From    fleet.HostID `cbor:"2,keyasint"`
	Version Version      `cbor:"3,keyasint,omitzero"`
	// Target is the host meant; empty when only its address is known.
	Target fleet.HostID `cbor:"4,keyasint,omitempty"`
	// Digest is equal on hosts that hold the same hosts for alive.
	Digest  uint32   `cbor:"5,keyasint,omitempty"`
	Updates []Update `cbor:"6,keyasint,omitempty"`
	// Buckets are digests of parts of the table, of four bytes each.
	Buckets []byte `cbor:"7,keyasint,omitempty"`
	// Unknown says that the sender of the answer has no record of the host it answers.
	Unknown bool `cbor:"8,keyasint,omitempty"`
	// Leaving says that From leaves.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// valid reports whether a message of another host respects the bounds of all messages.
func (m *Message) valid() bool {
	if m.Kind < KindPing || m.Kind > KindSyncAck || m.From == "" || len(m.From) > maxIDBytes || len(m.Target) > maxIDBytes {
		return false
	}
	if len(m.Updates) > maxRecords || len(m.Buckets) > 4*maxBuckets || len(m.Buckets)%4 != 0 {
		return false
	}
	for _, u := range m.Updates {
		p := u.Place
		if u.Host == "" || u.State > Left || max(len(u.Host), len(u.By), len(u.Address), len(p.Region), len(p.DataCentre), len(p.Rack)) > maxIDBytes {
			return false
		}
	}
	return true
}
