package raft

import (
	"cmp"
	"math/rand/v2"
	"time"

	"toucanway/core/fleet"
)

// Role is the current role of a host in its group.
type Role uint8

// Roles of hosts.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "unknown"
	}
}

// Defaults of Settings.
const (
	DefaultHeartbeat   = 100 * time.Millisecond
	DefaultElectionMin = 600 * time.Millisecond
	DefaultElectionMax = 900 * time.Millisecond
	DefaultMaxBatch    = 128 * fleet.KiB
	DefaultMaxInflight = 16
	DefaultMaxPending  = 16 * fleet.MiB
	DefaultChunkSize   = 256 * fleet.KiB
	DefaultPromoteGap  = 16
)

// Settings configure a Node; a zero field other than Self and Storage means its default.
type Settings struct {
	Self fleet.HostID
	// Storage is the random id of the host's data folder.
	Storage StorageID
	// Voters are the initial voters of the group; it is empty on a host that joins later.
	Voters []fleet.HostID
	// Heartbeat is the interval at which a leader sends heartbeats to each member.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random time without a leader after which a voter starts an election.
	ElectionMin, ElectionMax time.Duration
	// MaxBatch bounds the size of the entries in one message, MaxInflight the number of unanswered messages to one member.
	MaxBatch    fleet.Bytes
	MaxInflight int
	// MaxPending bounds the size of the leader's uncommitted entries; above it proposals are refused.
	MaxPending fleet.Bytes
	// ChunkSize is the size of the chunks in which a snapshot is sent.
	ChunkSize fleet.Bytes
	// PromoteGap is how many committed entries a learner may lack when it is promoted.
	PromoteGap fleet.Index
	// Seed makes the election timeouts of hosts differ.
	Seed uint64
	// StartDelay is added to the first election timeout after a start, so that a host without a delay becomes the leader.
	StartDelay time.Duration
}

func (s *Settings) setDefaults() {
	s.Heartbeat = cmp.Or(s.Heartbeat, DefaultHeartbeat)
	s.ElectionMin = cmp.Or(s.ElectionMin, DefaultElectionMin)
	s.ElectionMax = cmp.Or(s.ElectionMax, max(DefaultElectionMax, s.ElectionMin*3/2))
	s.MaxBatch = cmp.Or(s.MaxBatch, DefaultMaxBatch)
	s.MaxInflight = cmp.Or(s.MaxInflight, DefaultMaxInflight)
	s.MaxPending = cmp.Or(s.MaxPending, DefaultMaxPending)
	s.ChunkSize = cmp.Or(s.ChunkSize, DefaultChunkSize)
	s.PromoteGap = cmp.Or(s.PromoteGap, DefaultPromoteGap)
}

// Node is the state of one host as a member of a group. It is not safe for concurrent use.
//
// A driver calls Step, Tick and the request methods with the current time, gets the work to do from Ready, carries it out
// in the order that Output states, and reports completion with Done. Between Ready and Done it must not call Step or Tick.
type Node struct {
	cfg  Settings
	rand *rand.Rand
	// epoch is when the node was created; Message.Sent counts from it.
	epoch time.Time
	// now is the latest time that a caller gave.
	now time.Time

	state       HardState
	stateDirty  bool
	log         entryLog
	memberships []membershipAt
	// firstUnsaved is the first entry that Ready has not returned for saving yet, stable the last one known to be on disk.
	firstUnsaved, stable fleet.Index
	commit               fleet.Index
	// lastApplyIssued is the last committed entry that Ready has returned for application.
	lastApplyIssued fleet.Index

	role   Role
	leader fleet.HostID
	halted bool
	// lastLeaderContact is when this host last received a message from a leader, or started.
	lastLeaderContact time.Time
	electionDeadline  time.Time
	// ballots counts the ballots (pre-votes and votes) that this host began since it last followed a leader or became one.
	ballots int
	// electedAt is when this host last became leader.
	electedAt time.Time
	// votes holds the StorageIDs with which voters granted their vote.
	votes map[fleet.HostID]StorageID
	// electionByTransfer is set during an election that the leader asked for with MsgTimeoutNow.
	electionByTransfer bool

	// helloAccepted holds the voters that accepted this host's StorageID; refused is set when one rejected it.
	helloAccepted map[fleet.HostID]bool
	nextHelloAt   time.Time
	refused       bool

	// The fields from here to lastReadID are used while this host is leader. termStart is the first entry of its own term,
	// pendingBytes the size of its uncommitted entries, round the number of the current heartbeat round.
	peers           map[fleet.HostID]*progress
	termStart       fleet.Index
	pendingBytes    fleet.Bytes
	nextHeartbeatAt time.Time
	heartbeatDue    bool
	round           uint64
	// leaseRevoked is set once MsgTimeoutNow was sent in this term.
	leaseRevoked bool
	// transferee is the host that leadership is being transferred to; it is empty if there is no transfer.
	transferee       fleet.HostID
	transferDeadline time.Time
	reads            []pendingRead
	confirmedReads   []Read
	lastReadID       ReadID

	snapshot        Snapshot
	incoming        *incomingSnapshot
	unsavedSnapshot *Snapshot

	outbox, outboxAfterSave []Message
}

// New returns a node that continues from its persisted state.
func New(set Settings, saved PersistedState, now time.Time) (*Node, error) {
	set.setDefaults()
	if set.Self == "" || set.Storage == 0 {
		return nil, ErrSettings.New("the host id or the storage id of the data folder is missing; set both")
	}
	if set.ElectionMax <= set.ElectionMin || set.ElectionMin <= 2*set.Heartbeat {
		return nil, ErrSettings.New(
			"heartbeat interval %v, election timeout %v to %v: the minimum must exceed twice the interval and be below the maximum",
			set.Heartbeat, set.ElectionMin, set.ElectionMax)
	}
	n := &Node{
		cfg: set, rand: rand.New(rand.NewPCG(set.Seed, uint64(set.Storage))), epoch: now, now: now,
		state: saved.State, snapshot: saved.Snapshot, helloAccepted: map[fleet.HostID]bool{},
		lastLeaderContact: now, nextHelloAt: now, commit: saved.Snapshot.Index, lastApplyIssued: saved.Snapshot.Index,
	}
	initialMembers := saved.Snapshot.Members
	if saved.Snapshot.Index == 0 {
		for _, h := range set.Voters {
			initialMembers = initialMembers.with(Member{Host: h})
		}
	}
	n.memberships = []membershipAt{{saved.Snapshot.Index, initialMembers}}
	n.log.reset(saved.Snapshot.Index, saved.Snapshot.Term)
	for _, e := range saved.Entries {
		if e.Index <= saved.Snapshot.Index {
			continue
		}
		if e.Index != n.log.last()+1 || e.Term < n.log.lastTerm() {
			return nil, ErrCorrupt.New("saved log is out of sequence: entry %d of term %d follows entry %d of term %d; "+
				"replace this voter by an empty learner", e.Index, e.Term, n.log.last(), n.log.lastTerm())
		}
		if e.Kind == EntryMembers {
			if _, err := decodeMembers(e.Data); err != nil {
				return nil, err
			}
		}
		n.log.append(e)
	}
	n.firstUnsaved, n.stable = n.log.last()+1, n.log.last()
	n.adoptMembers(n.log.entries)
	n.updateAdmitted()
	n.resetElectionTimeout()
	n.electionDeadline = n.electionDeadline.Add(set.StartDelay)
	if n.state.Led {
		// The voters need not wait for the end of a lease of this host, which led before it stopped.
		n.electionDeadline = now.Add(n.cfg.ElectionMin / 6)
	}
	return n, nil
}

func (n *Node) advanceTime(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// NextTick returns the time at which Tick has to be called next.
func (n *Node) NextTick() time.Time {
	at := n.electionDeadline
	if n.role == Leader {
		at = n.nextHeartbeatAt
	}
	if n.helloPending() && n.nextHelloAt.Before(at) {
		return n.nextHelloAt
	}
	return at
}

// Tick advances the time and starts elections, heartbeats and hello messages that are due.
func (n *Node) Tick(now time.Time) {
	n.advanceTime(now)
	if n.halted {
		return
	}
	n.tickHello()
	if n.role == Leader {
		n.tickLeader()
	} else if !n.now.Before(n.electionDeadline) {
		if n.promotable() {
			n.preCampaign()
		} else {
			n.resetElectionTimeout()
		}
	}
}

// Step processes a message of another member. An invalid message is dropped with an error.
func (n *Node) Step(now time.Time, m Message) error {
	n.advanceTime(now)
	if n.halted || m.To != n.cfg.Self || m.From == n.cfg.Self {
		return nil
	}
	if err := m.check(); err != nil {
		return err
	}
	if m.Kind == MsgHello {
		n.stepHello(&m)
		return nil
	}
	if m.Kind == MsgHelloReply {
		n.stepHelloReply(&m)
		return nil
	}
	if m.Term > n.state.Term && !n.handleNewerTerm(&m) {
		return nil
	}
	if m.Term < n.state.Term {
		n.handleOlderTerm(&m)
		return nil
	}
	switch m.Kind {
	case MsgPreVote:
		n.stepPreVote(&m)
	case MsgPreVoteReply, MsgVoteReply:
		n.stepVoteReply(&m)
	case MsgVote:
		n.stepVote(&m)
	case MsgAppend:
		return n.stepAppend(&m)
	case MsgAppendReply, MsgSnapshotReply:
		n.stepReply(&m)
	case MsgSnapshot:
		n.stepSnapshot(&m)
	case MsgTimeoutNow:
		if n.promotable() && n.role != Leader {
			n.electionByTransfer = true
			n.campaign()
		}
	default:
		// Ignore message kinds of later versions.
	}
	return nil
}

// handleNewerTerm handles a message of a newer term: it adopts that term where the kind requires it and reports whether the
// message is to be processed further.
func (n *Node) handleNewerTerm(m *Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if !n.admittedByCandidate(m) || !m.Transfer && !m.Led && n.leaderMayHoldLease() {
			return false
		}
	case MsgAppend, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
		return true
	default:
	}
	n.becomeFollower(m.Term, "")
	return true
}

// handleOlderTerm answers requests of an older term with the current one, so that an old leader steps down.
func (n *Node) handleOlderTerm(m *Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		n.sendAfterSave(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.sendAfterSave(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	default:
	}
}

func (n *Node) withSender(m Message) Message {
	m.From, m.Storage, m.Admitted = n.cfg.Self, n.cfg.Storage, n.state.Admitted
	if m.Term == 0 && m.Kind != MsgHello && m.Kind != MsgHelloReply {
		m.Term = n.state.Term
	}
	return m
}

// send queues a message that may be sent before the output is saved.
func (n *Node) send(m Message) { n.outbox = append(n.outbox, n.withSender(m)) }

// sendAfterSave queues a message that must not be sent before the output is saved.
func (n *Node) sendAfterSave(m Message) {
	n.outboxAfterSave = append(n.outboxAfterSave, n.withSender(m))
}

// Halt permanently stops this node from voting and acknowledging, after its storage has failed.
func (n *Node) Halt() {
	n.halted = true
	n.becomeFollower(n.state.Term, "")
	n.outbox, n.outboxAfterSave, n.confirmedReads = nil, nil, nil
}

// Output is the work that a driver has to do, in the order of the fields.
type Output struct {
	// Send holds messages that may be sent at once, while the rest is saved; it is empty if State is set.
	Send []Message
	// State is to be saved if not nil, then Snapshot and Entries. Entries replace all saved ones from the index of the first
	// one on.
	State    *HardState
	Snapshot *Snapshot
	Entries  []Entry
	// SendAfterSave holds messages that may be sent once all of the above is synced to disk.
	SendAfterSave []Message
	// Committed is to be applied in order, after Snapshot replaced the state machine's state.
	Committed []Entry
	// Reads are the confirmed read barriers.
	Reads []Read
}

// maxApplyBytes bounds the size of the entries returned for application at once.
const maxApplyBytes = 4 * fleet.MiB

// Ready returns the work to do, and false if there is none.
func (n *Node) Ready() (Output, bool) {
	if n.halted {
		return Output{}, false
	}
	if n.role == Leader {
		n.replicateAll()
	}
	var o Output
	o.Send, n.outbox = n.outbox, nil
	o.SendAfterSave, n.outboxAfterSave = n.outboxAfterSave, nil
	if n.stateDirty {
		s := n.state
		o.State, n.stateDirty = &s, false
		o.Send, o.SendAfterSave = nil, append(o.Send, o.SendAfterSave...)
	}
	o.Snapshot, n.unsavedSnapshot = n.unsavedSnapshot, nil
	o.Entries = n.log.slice(n.firstUnsaved, n.log.last(), 1<<62)
	n.firstUnsaved = n.log.last() + 1
	o.Committed = n.log.slice(n.lastApplyIssued+1, n.commit, maxApplyBytes)
	if len(o.Committed) > 0 {
		n.lastApplyIssued = o.Committed[len(o.Committed)-1].Index
	}
	o.Reads, n.confirmedReads = n.confirmedReads, nil
	work := len(o.Send)+len(o.SendAfterSave)+len(o.Entries)+len(o.Committed)+len(o.Reads) > 0
	return o, work || o.State != nil || o.Snapshot != nil
}

// Done reports that an output was saved and applied.
func (n *Node) Done(o Output) {
	if k := len(o.Entries); k > 0 {
		n.stable = max(n.stable, o.Entries[k-1].Index)
		n.maybeCommit()
	}
}

// Status is a summary of a node's state.
type Status struct {
	Role   Role
	Leader fleet.HostID
	// LeaderSince is when this host was elected; it is the zero time on other hosts.
	LeaderSince time.Time
	Term        Term
	// Commit is the index of the last committed entry, Last and First those of the last and first entries in the log, Snapshot
	// that of the latest snapshot.
	Commit   fleet.Index
	Last     fleet.Index
	First    fleet.Index
	Snapshot fleet.Index
	Members  Membership
	// Refused means that the group has recorded another StorageID for this host: its disk was lost, and it has no vote until
	// it is removed from the group, added again as a learner and promoted.
	Refused bool
}

// SilentMembers returns the other members from which the leader has received no answer for at least d. It is empty until d
// has passed since the leader's election, and on hosts that aren't leader.
func (n *Node) SilentMembers(now time.Time, d time.Duration) []fleet.HostID {
	if n.role != Leader || now.Sub(n.electedAt) < d {
		return nil
	}
	var out []fleet.HostID
	for _, m := range n.members() {
		if p := n.peers[m.Host]; p != nil && now.Sub(p.lastAck) >= d {
			out = append(out, m.Host)
		}
	}
	return out
}

// Status returns the node's state.
func (n *Node) Status() Status {
	since := n.electedAt
	if n.role != Leader {
		since = time.Time{}
	}
	return Status{
		Role: n.role, LeaderSince: since, Leader: n.leader, Term: n.state.Term, Commit: n.commit, Last: n.log.last(),
		First: n.log.offset + 1, Snapshot: n.snapshot.Index, Members: n.members(),
		Refused: n.refused && !n.promotable() && !n.isLearner(),
	}
}

func (n *Node) isLearner() bool {
	m, ok := n.members().Find(n.cfg.Self)
	return ok && m.Learner
}

// EntriesAfter returns committed entries after index i, up to upTo: at least one if there is any, and more while they fit
// into maxBytes. It returns false if they are compacted.
func (n *Node) EntriesAfter(i, upTo fleet.Index, maxBytes fleet.Bytes) ([]Entry, bool) {
	if i < n.log.offset {
		return nil, false
	}
	return n.log.slice(i+1, min(upTo, n.commit), maxBytes), true
}
