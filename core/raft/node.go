package raft

import (
	"cmp"
	"math/rand/v2"
	"time"

	"toucanway/core/fleet"
)

// Role is what a host does in its group at present.
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
	DefaultChunk       = 256 * fleet.KiB
	DefaultPromoteGap  = 16
)

// Settings configure a Node; a zero field other than Self and Storage means its default.
type Settings struct {
	Self fleet.HostID
	// Storage is the random id of the host's data folder.
	Storage StorageID
	// Voters are the group's first voters; a host that joins later leaves them empty.
	Voters []fleet.HostID
	// Heartbeat is the time between a leader's messages to each member.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the time without a leader after which a voter starts an election.
	ElectionMin, ElectionMax time.Duration
	// MaxBatch bounds the entries of one message, MaxInflight the unanswered messages to one member.
	MaxBatch    fleet.Bytes
	MaxInflight int
	// MaxPending bounds the leader's uncommitted entries; above it proposals are refused.
	MaxPending fleet.Bytes
	// Chunk is the size of the parts in which a snapshot is sent.
	Chunk fleet.Bytes
	// PromoteGap is how many committed entries a learner may lack when it is promoted.
	PromoteGap fleet.Index
	// Seed makes the election timeouts of hosts differ.
	Seed uint64
	// StartDelay is added to the first election timeout after a start, so that hosts without it lead first.
	StartDelay time.Duration
}

func (s *Settings) setDefaults() {
	s.Heartbeat = cmp.Or(s.Heartbeat, DefaultHeartbeat)
	s.ElectionMin = cmp.Or(s.ElectionMin, DefaultElectionMin)
	s.ElectionMax = cmp.Or(s.ElectionMax, max(DefaultElectionMax, s.ElectionMin*3/2))
	s.MaxBatch = cmp.Or(s.MaxBatch, DefaultMaxBatch)
	s.MaxInflight = cmp.Or(s.MaxInflight, DefaultMaxInflight)
	s.MaxPending = cmp.Or(s.MaxPending, DefaultMaxPending)
	s.Chunk = cmp.Or(s.Chunk, DefaultChunk)
	s.PromoteGap = cmp.Or(s.PromoteGap, DefaultPromoteGap)
}

// Node is one host's part in a group. It is not safe for concurrent use.
//
// A driver calls Step, Tick and the request methods with the time, takes the work to do from Ready, carries it out in
// the order that Output states, and reports it by Done. Between Ready and Done it must not call Step or Tick.
type Node struct {
	set   Settings
	rand  *rand.Rand
	epoch time.Time
	now   time.Time

	state      HardState
	stateDirty bool
	log        entryLog
	history    []membershipAt
	// unsaved is the first entry not yet handed out for saving, stable the last one known to be on disk.
	unsaved, stable fleet.Index
	commit          fleet.Index
	// given is the last committed entry handed out for application.
	given fleet.Index

	role   Role
	leader fleet.HostID
	halted bool
	// contact is when this host last heard from a leader, or started.
	contact    time.Time
	electionAt time.Time
	// tries counts the elections that this host began since it last followed or led.
	tries int
	// since is when this host last became leader.
	since time.Time
	// votes holds the folders under which voters granted their vote.
	votes    map[fleet.HostID]StorageID
	transfer bool

	accepted map[fleet.HostID]bool
	helloAt  time.Time
	refused  bool

	peers        map[fleet.HostID]*progress
	termStart    fleet.Index
	pending      fleet.Bytes
	heartbeatAt  time.Time
	heartbeatDue bool
	round        uint64
	leaseBarred  bool
	transferee   fleet.HostID
	transferBy   time.Time
	reads        []pendingRead
	readsDone    []Read
	readSeq      ReadID

	snapshot Snapshot
	incoming *incoming
	install  *Snapshot

	early, late []Message
}

// New returns a node that continues from what its storage holds.
func New(set Settings, saved Saved, now time.Time) (*Node, error) {
	set.setDefaults()
	if set.Self == "" || set.Storage == 0 {
		return nil, ErrSettings.New("a node needs its host id and its folder's storage id; set both")
	}
	if set.ElectionMax <= set.ElectionMin || set.ElectionMin <= 2*set.Heartbeat {
		return nil, ErrSettings.New("heartbeat %v, election timeouts %v to %v: each must be well above the one before",
			set.Heartbeat, set.ElectionMin, set.ElectionMax)
	}
	n := &Node{
		set: set, rand: rand.New(rand.NewPCG(set.Seed, uint64(set.Storage))), epoch: now, now: now,
		state: saved.State, snapshot: saved.Snapshot, accepted: map[fleet.HostID]bool{}, contact: now, helloAt: now,
		commit: saved.Snapshot.Index, given: saved.Snapshot.Index,
	}
	first := saved.Snapshot.Members
	if saved.Snapshot.Index == 0 {
		for _, h := range set.Voters {
			first = first.with(Member{Host: h})
		}
	}
	n.history = []membershipAt{{saved.Snapshot.Index, first}}
	n.log.reset(saved.Snapshot.Index, saved.Snapshot.Term)
	for _, e := range saved.Entries {
		if e.Index <= saved.Snapshot.Index {
			continue
		}
		if e.Index != n.log.last()+1 || e.Term < n.log.lastTerm() {
			return nil, ErrCorrupt.New("saved entry %d of term %d follows entry %d of term %d; "+
				"replace this voter by an empty learner", e.Index, e.Term, n.log.last(), n.log.lastTerm())
		}
		if e.Kind == EntryMembers {
			if _, err := decodeMembers(e.Data); err != nil {
				return nil, err
			}
		}
		n.log.append(e)
	}
	n.unsaved, n.stable = n.log.last()+1, n.log.last()
	n.noteMembers(n.log.entries)
	n.admit()
	n.resetElection()
	n.electionAt = n.electionAt.Add(set.StartDelay)
	return n, nil
}

func (n *Node) setNow(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// NextTick returns when Tick has to be called next.
func (n *Node) NextTick() time.Time {
	at := n.electionAt
	if n.role == Leader {
		at = n.heartbeatAt
	}
	if n.introducing() && n.helloAt.Before(at) {
		return n.helloAt
	}
	return at
}

// Tick carries out what is due at the given time.
func (n *Node) Tick(now time.Time) {
	n.setNow(now)
	if n.halted {
		return
	}
	n.tickHello()
	if n.role == Leader {
		n.tickLeader()
	} else if !n.now.Before(n.electionAt) {
		if n.promotable() {
			n.preCampaign()
		} else {
			n.resetElection()
		}
	}
}

// Step takes in a message of another member. A message that no correct member sends is dropped with an error.
func (n *Node) Step(now time.Time, m Message) error {
	n.setNow(now)
	if n.halted || m.To != n.set.Self || m.From == n.set.Self {
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
	if m.Term > n.state.Term && !n.newerTerm(&m) {
		return nil
	}
	if m.Term < n.state.Term {
		n.olderTerm(&m)
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
			n.transfer = true
			n.campaign()
		}
	default:
		// A kind of a later version, which this one can't answer.
	}
	return nil
}

// newerTerm moves to the term of a message and says whether to go on with it.
func (n *Node) newerTerm(m *Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if !n.mayVote(m) || !m.Transfer && n.sticky() {
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

// olderTerm tells the sender of an old term about the present one, so that an old leader steps down.
func (n *Node) olderTerm(m *Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		n.sendSaved(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.sendSaved(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	default:
	}
}

func (n *Node) stamp(m Message) Message {
	m.From, m.Storage, m.Admitted = n.set.Self, n.set.Storage, n.state.Admitted
	if m.Term == 0 && m.Kind != MsgHello && m.Kind != MsgHelloReply {
		m.Term = n.state.Term
	}
	return m
}

// send queues a message that may leave before the output is saved.
func (n *Node) send(m Message) { n.early = append(n.early, n.stamp(m)) }

// sendSaved queues a message that must not leave before the output is saved.
func (n *Node) sendSaved(m Message) { n.late = append(n.late, n.stamp(m)) }

// Halt stops all voting and acknowledging for good, after the storage has failed.
func (n *Node) Halt() {
	n.halted = true
	n.becomeFollower(n.state.Term, "")
	n.early, n.late, n.readsDone = nil, nil, nil
}

// Output is what a driver has to do, in the order of the fields.
type Output struct {
	// Send may leave at once, while the rest is saved; it is empty when State is not.
	Send []Message
	// State is to be saved if not nil, then Snapshot and Entries. Entries replace saved ones from the first's index on.
	State    *HardState
	Snapshot *Snapshot
	Entries  []Entry
	// SendSaved may leave once all of the above is synced to disk.
	SendSaved []Message
	// Committed is to be applied in order, after Snapshot replaced the state machine's state.
	Committed []Entry
	// Reads are the barriers that are confirmed.
	Reads []Read
}

// maxApply bounds the entries handed out for application at once.
const maxApply = 4 * fleet.MiB

// Ready returns the work to do, and false if there is none.
func (n *Node) Ready() (Output, bool) {
	if n.halted {
		return Output{}, false
	}
	if n.role == Leader {
		n.replicateAll()
	}
	var o Output
	o.Send, n.early = n.early, nil
	o.SendSaved, n.late = n.late, nil
	if n.stateDirty {
		s := n.state
		o.State, n.stateDirty = &s, false
		o.Send, o.SendSaved = nil, append(o.Send, o.SendSaved...)
	}
	o.Snapshot, n.install = n.install, nil
	o.Entries = n.log.slice(n.unsaved, n.log.last(), 1<<62)
	n.unsaved = n.log.last() + 1
	o.Committed = n.log.slice(n.given+1, n.commit, maxApply)
	if len(o.Committed) > 0 {
		n.given = o.Committed[len(o.Committed)-1].Index
	}
	o.Reads, n.readsDone = n.readsDone, nil
	work := len(o.Send)+len(o.SendSaved)+len(o.Entries)+len(o.Committed)+len(o.Reads) > 0
	return o, work || o.State != nil || o.Snapshot != nil
}

// Done reports that an output was saved and applied.
func (n *Node) Done(o Output) {
	if k := len(o.Entries); k > 0 {
		n.stable = max(n.stable, o.Entries[k-1].Index)
		n.maybeCommit()
	}
}

// Status describes a node.
type Status struct {
	Role   Role
	Leader fleet.HostID
	// LeaderSince is when this host was elected; it is the zero time on other hosts.
	LeaderSince time.Time
	Term        Term
	Commit      fleet.Index
	Last        fleet.Index
	First       fleet.Index
	Snapshot    fleet.Index
	Members     Membership
	// Refused says that the group knows this host under another folder: its disk was lost, and it has no vote
	// until an operator removes it and adds it again as a learner.
	Refused bool
}

// SilentMembers returns the other members from which a leader has heard nothing for a time, also since its election;
// it is empty on other hosts.
func (n *Node) SilentMembers(now time.Time, d time.Duration) []fleet.HostID {
	if n.role != Leader || now.Sub(n.since) < d {
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
	since := n.since
	if n.role != Leader {
		since = time.Time{}
	}
	return Status{
		Role: n.role, LeaderSince: since, Leader: n.leader, Term: n.state.Term, Commit: n.commit, Last: n.log.last(),
		First: n.log.offset + 1, Snapshot: n.snapshot.Index, Members: n.members(), Refused: n.refused && !n.promotable() && !n.learning(),
	}
}

// learning says whether this host is a learner.
func (n *Node) learning() bool {
	m, ok := n.members().Find(n.set.Self)
	return ok && m.Learner
}

// EntriesAfter returns committed entries after an index, at least one if there is any and more while they fit into
// maxBytes; false means that they are compacted.
func (n *Node) EntriesAfter(i, upTo fleet.Index, maxBytes fleet.Bytes) ([]Entry, bool) {
	if i < n.log.offset {
		return nil, false
	}
	return n.log.slice(i+1, min(upTo, n.commit), maxBytes), true
}
