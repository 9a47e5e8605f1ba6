package raft

import (
	"time"

	"toucanway/core/fleet"
)

// Term numbers the terms of a group; each election begins a new one, and a term has at most one leader.
type Term uint64

// StorageID is a random number that identifies one data folder; a host whose disk was lost comes back with another one.
type StorageID uint64

// EntryKind is the kind of data that an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the first entry of a term, except in an empty log, which begins with EntryMembers.
	EntryNoop
	// EntryMembers holds an encoded Membership, which takes effect as soon as it is in the log.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index fleet.Index `cbor:"1,keyasint"`
	Term  Term        `cbor:"2,keyasint"`
	Kind  EntryKind   `cbor:"3,keyasint,omitempty"`
	Data  []byte      `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that a voter must have on disk before it sends the messages that depend on it.
type HardState struct {
	Term Term         `cbor:"1,keyasint"`
	Vote fleet.HostID `cbor:"2,keyasint,omitempty"`
	// Admitted is set once the group has accepted this host's StorageID as that of a voter.
	Admitted bool `cbor:"3,keyasint,omitempty"`
	// Known holds the first StorageID that each other voter sent in MsgHello.
	Known []Member `cbor:"4,keyasint,omitempty"`
	// Led is set if this host was elected leader of Term.
	Led bool `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the state machine's state at an index.
type Snapshot struct {
	Index   fleet.Index `cbor:"1,keyasint"`
	Term    Term        `cbor:"2,keyasint"`
	Members Membership  `cbor:"3,keyasint"`
	Data    []byte      `cbor:"4,keyasint,omitempty"`
}

// PersistedState is the persisted state of a group on one host.
type PersistedState struct {
	Storage  StorageID
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	// MsgHello announces the StorageID of a voter that the log doesn't record yet.
	MsgHello MessageKind = iota + 1
	// MsgHelloReply accepts or rejects a StorageID.
	MsgHelloReply
	// MsgPreVote asks whether an election could succeed; it changes no state of the receiver.
	MsgPreVote
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend carries entries, or none as a heartbeat.
	MsgAppend
	// MsgAppendReply answers MsgAppend.
	MsgAppendReply
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotReply gives the offset of the next chunk to send, in Hint.
	MsgSnapshotReply
	// MsgTimeoutNow asks the receiver to start an election at once.
	MsgTimeoutNow
)

// Chunk is a part of a snapshot's data.
type Chunk struct {
	Members Membership `cbor:"1,keyasint,omitempty"`
	// Data begins at Offset of the Total bytes of the snapshot's data.
	Offset int    `cbor:"2,keyasint,omitempty"`
	Total  int    `cbor:"3,keyasint,omitempty"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
}

// check returns an error if the message is invalid.
func (m *Message) check() error {
	for i := range m.Entries {
		e := &m.Entries[i]
		low := m.LogTerm
		if i > 0 {
			low = m.Entries[i-1].Term
		}
		if e.Index != m.Index+1+fleet.Index(i) || e.Term < low || e.Term > m.Term {
			return ErrMessage.New("message from %s is out of sequence: entry %d of term %d at position %d after entry %d; it is dropped, "+
				"check that all hosts run one version", m.From, e.Index, e.Term, i, m.Index)
		}
		if e.Kind == EntryMembers {
			if _, err := decodeMembers(e.Data); err != nil {
				return err
			}
		}
	}
	if c := m.Chunk; c != nil && (c.Offset < 0 || c.Total < 0 || len(c.Data) > c.Total-c.Offset) {
		return ErrMessage.New("message from host %s has a chunk of %d bytes at offset %d of a snapshot of %d bytes; it is dropped, "+
			"check that all hosts run one version", m.From, len(c.Data), c.Offset, c.Total)
	}
	return nil
}

// Message is exchanged between the hosts of a group.
type Message struct {
	Kind MessageKind  `cbor:"1,keyasint"`
	To   fleet.HostID `cbor:"2,keyasint"`
	From fleet.HostID `cbor:"3,keyasint"`
	Term Term         `cbor:"4,keyasint,omitempty"`
	// Storage is the sender's StorageID, Admitted its HardState.Admitted.
	Storage  StorageID `cbor:"5,keyasint,omitempty"`
	Admitted bool      `cbor:"6,keyasint,omitempty"`
	// Expect is the StorageID that the sender's membership records for the receiver, or 0 if none; in MsgHelloReply it is the
	// StorageID that is accepted or rejected.
	Expect StorageID `cbor:"7,keyasint,omitempty"`
	// Index is the index of an entry that depends on Kind: in MsgAppend the entry before Entries, in vote requests the
	// candidate's last entry, in MsgAppendReply the last entry known to match or, if Reject is set, the one that doesn't
	// match, and in MsgSnapshot and its reply the last entry that the snapshot covers.
	Index   fleet.Index `cbor:"8,keyasint,omitempty"`
	LogTerm Term        `cbor:"9,keyasint,omitempty"`
	Commit  fleet.Index `cbor:"10,keyasint,omitempty"`
	Entries []Entry     `cbor:"11,keyasint,omitempty"`
	Reject  bool        `cbor:"12,keyasint,omitempty"`
	// Hint and HintTerm are the index and term of the last entry that may match, in a rejected append. In MsgSnapshotReply,
	// Hint is the offset of the next chunk.
	Hint     fleet.Index `cbor:"13,keyasint,omitempty"`
	HintTerm Term        `cbor:"14,keyasint,omitempty"`
	// Sent is when the leader sent the message, as the time since its start, and Round is its heartbeat round; replies
	// return both.
	Sent  time.Duration `cbor:"15,keyasint,omitempty"`
	Round uint64        `cbor:"16,keyasint,omitempty"`
	Chunk *Chunk        `cbor:"17,keyasint,omitempty"`
	// Transfer marks an election that the leader asked for with MsgTimeoutNow; the lease of that leader doesn't prevent it.
	Transfer bool `cbor:"18,keyasint,omitempty"`
	// Led is set in vote requests of a candidate that was the leader of the term before. Any lease that may still be valid is its
	// own, and ended with its leadership, so that voters need not wait for its end.
	Led bool `cbor:"19,keyasint,omitempty"`
}
