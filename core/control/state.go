package control

import (
	"maps"
	"slices"

	"toucanway/core/fleet"
)

// Bounds of the control state.
const (
	MaxDocumentBytes    = 1 << 20
	MaxDocumentHistory  = 64
	MaxSessions         = 4096
	MaxBackends         = 16384
	MaxReplicasPerModel = 64
	MaxCrashRecords     = 4096

	maxSnapshotPairs = 1 << 24
)

// ReplicaState is the state of a replica record.
type ReplicaState int

// States of a replica record, roughly in the order in which a replica goes through them. Intended means that the order is
// decided, Sent that the owner may send it, InDoubt that its outcome is unknown.
const (
	ReplicaIntended ReplicaState = iota
	ReplicaSent
	ReplicaReady
	ReplicaInDoubt
	ReplicaUnloadIntended
	ReplicaUnloadSent
	ReplicaUnloadInDoubt
	// ReplicaLost is a replica whose backend server cannot be reached and may still be running.
	ReplicaLost
	// ReplicaFailed and ReplicaGone are only reported: the record is then deleted, so they are never stored.
	ReplicaFailed
	ReplicaGone
)

var replicaStateNames = []string{
	"intended", "sent", "ready", "in-doubt", "unload-intended", "unload-sent", "unload-in-doubt", "lost", "failed", "gone",
}

// String returns the state's name.
func (s ReplicaState) String() string {
	if s < 0 || int(s) >= len(replicaStateNames) {
		return "unknown"
	}
	return replicaStateNames[s]
}

// Document is one accepted configuration document; only the newest keeps its Text. Index is the log index at which it was
// accepted.
type Document struct {
	Version  fleet.DocumentVersion `cbor:"1,keyasint"`
	Base     fleet.DocumentVersion `cbor:"2,keyasint"`
	Digest   string                `cbor:"3,keyasint"`
	Operator fleet.OperatorID      `cbor:"4,keyasint"`
	Sections []string              `cbor:"5,keyasint"`
	Index    fleet.Index           `cbor:"6,keyasint"`
	Text     string                `cbor:"7,keyasint,omitempty"`
}

// Session is the registration of one incarnation of a host. Address is for other hosts, CallerAddress for callers. Opened is the
// log index at which the session was opened.
type Session struct {
	Host          fleet.HostID      `cbor:"1,keyasint"`
	Incarnation   fleet.Incarnation `cbor:"2,keyasint"`
	Address       string            `cbor:"3,keyasint"`
	CallerAddress string            `cbor:"4,keyasint"`
	Place         fleet.Place       `cbor:"5,keyasint"`
	Draining      bool              `cbor:"6,keyasint,omitempty"`
	Opened        fleet.Index       `cbor:"7,keyasint"`
}

// Backend is a registered backend server with its owner.
type Backend struct {
	Announcement fleet.Announcement `cbor:"1,keyasint"`
	Leaving      bool               `cbor:"2,keyasint,omitempty"`
	Lost         bool               `cbor:"3,keyasint,omitempty"`
	Owner        fleet.HostID       `cbor:"4,keyasint,omitempty"`
	Fence        fleet.Fence        `cbor:"5,keyasint,omitempty"`
}

// Replica is the record of one decided replica and of the current order for it.
type Replica struct {
	Order       fleet.OrderID      `cbor:"1,keyasint"`
	Model       fleet.ModelID      `cbor:"2,keyasint"`
	Version     fleet.ModelVersion `cbor:"3,keyasint"`
	Role        fleet.Role         `cbor:"4,keyasint,omitempty"`
	Backend     fleet.BackendID    `cbor:"5,keyasint"`
	Incarnation fleet.Incarnation  `cbor:"6,keyasint"`
	Memory      fleet.Bytes        `cbor:"7,keyasint"`
	State       ReplicaState       `cbor:"8,keyasint"`
	// Changed is the log index of the last change; an inventory that was read before that change doesn't affect the record.
	Changed fleet.Index `cbor:"9,keyasint"`
}

// CrashRecord is the crash record of one request fingerprint. Index is the log index of its last change.
type CrashRecord struct {
	Fingerprint fleet.Fingerprint `cbor:"1,keyasint"`
	Crashes     int               `cbor:"2,keyasint"`
	Poison      bool              `cbor:"3,keyasint,omitempty"`
	Index       fleet.Index       `cbor:"4,keyasint"`
	// LastCrash is the incarnation whose crash was counted last, so that a crash that several hosts report counts once.
	LastCrash fleet.BackendIncarnation `cbor:"5,keyasint"`
}

// data is the whole control state as encoded in a snapshot.
type data struct {
	Applied        fleet.Index                       `cbor:"1,keyasint"`
	Documents      []Document                        `cbor:"2,keyasint"`
	Sessions       map[fleet.HostID]Session          `cbor:"3,keyasint"`
	Backends       map[fleet.BackendID]Backend       `cbor:"4,keyasint"`
	ReplicaTargets map[fleet.ModelID]int             `cbor:"5,keyasint"`
	Replicas       map[fleet.OrderID]Replica         `cbor:"6,keyasint"`
	CrashRecords   map[fleet.Fingerprint]CrashRecord `cbor:"7,keyasint"`
	Proposers      map[fleet.HostID]proposerResult   `cbor:"8,keyasint"`
}

// proposerResult is the result of a proposer's last command, so that a repeated command is applied only once.
type proposerResult struct {
	Incarnation fleet.Incarnation `cbor:"1,keyasint"`
	Seq         uint64            `cbor:"2,keyasint"`
	Result      Result            `cbor:"3,keyasint"`
}

// State is the control state at one log index. The zero value is the empty state. It is not safe for concurrent use.
type State struct {
	d         data
	byModel   map[fleet.ModelID][]fleet.OrderID
	byBackend map[fleet.BackendID][]fleet.OrderID
	byOwner   map[fleet.HostID]map[fleet.BackendID]struct{}
}

// Applied returns the log index of the last applied command.
func (s *State) Applied() fleet.Index { return s.d.Applied }

// Document returns the newest accepted document, or a zero one.
func (s *State) Document() Document {
	if len(s.d.Documents) == 0 {
		return Document{}
	}
	return s.d.Documents[len(s.d.Documents)-1]
}

// History returns the accepted documents that are still kept, oldest first.
func (s *State) History() []Document { return slices.Clone(s.d.Documents) }

// Session returns a host's session and whether it is open.
func (s *State) Session(id fleet.HostID) (Session, bool) {
	v, ok := s.d.Sessions[id]
	return v, ok
}

// Sessions returns all sessions ordered by host.
func (s *State) Sessions() []Session {
	out := make([]Session, 0, len(s.d.Sessions))
	for _, id := range slices.Sorted(maps.Keys(s.d.Sessions)) {
		out = append(out, s.d.Sessions[id])
	}
	return out
}

// Backend returns a backend server and whether it is registered.
func (s *State) Backend(id fleet.BackendID) (Backend, bool) {
	v, ok := s.d.Backends[id]
	return v, ok
}

// Backends returns all backend servers ordered by id.
func (s *State) Backends() []Backend {
	out := make([]Backend, 0, len(s.d.Backends))
	for _, id := range slices.Sorted(maps.Keys(s.d.Backends)) {
		out = append(out, s.d.Backends[id])
	}
	return out
}

// ReplicaTarget returns the decided number of replicas of a model.
func (s *State) ReplicaTarget(m fleet.ModelID) int { return s.d.ReplicaTargets[m] }

// ReplicaTargets returns the decided number of replicas of every model for which it isn't 0.
func (s *State) ReplicaTargets() map[fleet.ModelID]int { return maps.Clone(s.d.ReplicaTargets) }

// Replica returns the record of an order and whether it exists.
func (s *State) Replica(id fleet.OrderID) (Replica, bool) {
	v, ok := s.d.Replicas[id]
	return v, ok
}

// Replicas returns the records of a model, oldest decision first.
func (s *State) Replicas(m fleet.ModelID) []Replica { return s.replicas(s.byModel[m]) }

// ReplicasOn returns the records of a backend server, oldest decision first.
func (s *State) ReplicasOn(b fleet.BackendID) []Replica { return s.replicas(s.byBackend[b]) }

// AllReplicas returns every record, oldest decision first.
func (s *State) AllReplicas() []Replica {
	return s.replicas(slices.Sorted(maps.Keys(s.d.Replicas)))
}

func (s *State) replicas(ids []fleet.OrderID) []Replica {
	out := make([]Replica, 0, len(ids))
	for _, id := range ids {
		out = append(out, s.d.Replicas[id])
	}
	return out
}

// MemoryOn returns the memory of all records on a backend server, including those in doubt.
func (s *State) MemoryOn(b fleet.BackendID) fleet.Bytes {
	var sum fleet.Bytes
	for _, id := range s.byBackend[b] {
		sum += s.d.Replicas[id].Memory
	}
	return sum
}

// CrashRecord returns the crash record of a fingerprint and whether there is one.
func (s *State) CrashRecord(f fleet.Fingerprint) (CrashRecord, bool) {
	v, ok := s.d.CrashRecords[f]
	return v, ok
}

// CrashRecords returns all crash records, oldest change first.
func (s *State) CrashRecords() []CrashRecord {
	out := slices.Collect(maps.Values(s.d.CrashRecords))
	slices.SortFunc(out, func(a, b CrashRecord) int {
		if a.Index != b.Index {
			return int(a.Index) - int(b.Index)
		}
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}

func (s *State) init() {
	if s.d.Sessions != nil {
		return
	}
	s.d.Sessions = map[fleet.HostID]Session{}
	s.d.Backends = map[fleet.BackendID]Backend{}
	s.d.ReplicaTargets = map[fleet.ModelID]int{}
	s.d.Replicas = map[fleet.OrderID]Replica{}
	s.d.CrashRecords = map[fleet.Fingerprint]CrashRecord{}
	s.d.Proposers = map[fleet.HostID]proposerResult{}
	s.byModel = map[fleet.ModelID][]fleet.OrderID{}
	s.byBackend = map[fleet.BackendID][]fleet.OrderID{}
	s.byOwner = map[fleet.HostID]map[fleet.BackendID]struct{}{}
}

func (s *State) putReplica(r Replica) {
	if _, ok := s.d.Replicas[r.Order]; !ok {
		s.byModel[r.Model] = append(s.byModel[r.Model], r.Order)
		s.byBackend[r.Backend] = append(s.byBackend[r.Backend], r.Order)
	}
	s.d.Replicas[r.Order] = r
}

func (s *State) dropReplica(id fleet.OrderID) {
	r, ok := s.d.Replicas[id]
	if !ok {
		return
	}
	delete(s.d.Replicas, id)
	s.byModel[r.Model] = withoutOrder(s.byModel[r.Model], id)
	s.byBackend[r.Backend] = withoutOrder(s.byBackend[r.Backend], id)
}

func withoutOrder(ids []fleet.OrderID, id fleet.OrderID) []fleet.OrderID {
	return slices.DeleteFunc(ids, func(o fleet.OrderID) bool { return o == id })
}
