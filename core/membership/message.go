package membership

import (
	"cmp"

	"toucanway/core/fleet"
)

// State is the state of a host in the view of another host.
type State uint8

// States. Of two records with the same version, the one with the later state in this list wins.
const (
	Alive State = iota
	Suspect
	Dead
	// Left is the state of a host that announced its departure.
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

// gone reports whether the state is Dead or Left; such hosts are no longer probed.
func (s State) gone() bool { return s >= Dead }

// Version orders the records of one host: by incarnation, then by the number of refutations within it.
type Version struct {
	Incarnation fleet.Incarnation `cbor:"1,keyasint,omitempty"`
	Refutations uint32            `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or +1 as v is older than, the same as or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, other.Incarnation), cmp.Compare(v.Refutations, other.Refutations))
}

// Update is the record of one host as it is sent between hosts. Only records of a new incarnation and answers to KindSync
// include address and place.
type Update struct {
	Host    fleet.HostID `cbor:"1,keyasint"`
	Version Version      `cbor:"2,keyasint,omitzero"`
	State   State        `cbor:"3,keyasint,omitempty"`
	// ReportedBy is the host that reports the suspicion, so that reports from different hosts can be counted.
	ReportedBy fleet.HostID `cbor:"4,keyasint,omitempty"`
	Address    string       `cbor:"5,keyasint,omitempty"`
	Place      fleet.Place  `cbor:"6,keyasint,omitzero"`
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
	// KindAck answers a ping, including a ping relayed for another host.
	KindAck
	// KindNack means that Target did not answer the receiver of a KindPingRequest, or that Target is not at this address.
	KindNack
	// KindSyncAck answers KindSync; Updates may contain records of any state.
	KindSyncAck
)

// Message is exchanged between hosts; requests and answers have the same form.
type Message struct {
	Kind    Kind         `cbor:"1,keyasint"`
	From    fleet.HostID `cbor:"2,keyasint"`
	Version Version      `cbor:"3,keyasint,omitzero"`
	// Target is the host that the message is about; it is empty when only the host's address is known.
	Target fleet.HostID `cbor:"4,keyasint,omitempty"`
	// Digest is equal on hosts with the same set of live hosts and versions.
	Digest  uint32   `cbor:"5,keyasint,omitempty"`
	Updates []Update `cbor:"6,keyasint,omitempty"`
	// Buckets are the digests of the parts of the table, four bytes each.
	Buckets []byte `cbor:"7,keyasint,omitempty"`
	// Unknown means that the sender of the answer has no record of the host that it answers, or only an older one.
	Unknown bool `cbor:"8,keyasint,omitempty"`
	// Leaving means that From is leaving the group.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// valid reports whether a message from another host has a known kind and known states and is within the limits on sizes.
func (m *Message) valid() bool {
	if m.Kind < KindPing || m.Kind > KindSyncAck || m.From == "" || len(m.From) > maxIDBytes || len(m.Target) > maxIDBytes {
		return false
	}
	if len(m.Updates) > maxRecords || len(m.Buckets) > 4*maxBuckets || len(m.Buckets)%4 != 0 {
		return false
	}
	for _, u := range m.Updates {
		p := u.Place
		if u.Host == "" || u.State > Left || max(len(u.Host), len(u.ReportedBy), len(u.Address), len(p.Region), len(p.DataCentre), len(p.Rack)) > maxIDBytes {
			return false
		}
	}
	return true
}
