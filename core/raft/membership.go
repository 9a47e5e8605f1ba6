package raft

import (
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"toucanway/core/fleet"
)

// Member is a host of a group.
type Member struct {
	Host fleet.HostID `cbor:"1,keyasint"`
	// Storage identifies the data folder with which the group admitted the host; it is 0 while it is not known.
	Storage StorageID `cbor:"2,keyasint,omitempty"`
	// Learner marks a host that receives the log but has no vote.
	Learner bool `cbor:"3,keyasint,omitempty"`
}

// Membership lists the hosts of a group in order of their ids.
type Membership []Member

// Find returns the member with the given host id, and whether there is one.
func (ms Membership) Find(h fleet.HostID) (Member, bool) {
	for _, m := range ms {
		if m.Host == h {
			return m, true
		}
	}
	return Member{}, false
}

// with returns a copy that contains m, in place of the member of the same host if there is one.
func (ms Membership) with(m Member) Membership {
	out := append(ms.without(m.Host), m)
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func (ms Membership) without(h fleet.HostID) Membership {
	out := make(Membership, 0, len(ms)+1)
	for _, m := range ms {
		if m.Host != h {
			out = append(out, m)
		}
	}
	return out
}

// Voters returns the hosts with a vote.
func (ms Membership) Voters() []fleet.HostID { return ms.hosts(false) }

// Learners returns the hosts without a vote.
func (ms Membership) Learners() []fleet.HostID { return ms.hosts(true) }

func (ms Membership) hosts(learners bool) []fleet.HostID {
	var out []fleet.HostID
	for _, m := range ms {
		if m.Learner == learners {
			out = append(out, m.Host)
		}
	}
	return out
}

func quorum(voters int) int { return voters/2 + 1 }

// membershipAt is a membership and the index of the log entry that contains it.
type membershipAt struct {
	index   fleet.Index
	members Membership
}

// members returns the latest membership in the log, committed or not.
func (n *Node) members() Membership { return n.memberships[len(n.memberships)-1].members }

func decodeMembers(data []byte) (Membership, error) {
	var ms Membership
	if err := cbor.Unmarshal(data, &ms); err != nil {
		return nil, ErrMessage.Wrap(err, "membership entry cannot be decoded; check that all hosts run one version")
	}
	return ms, nil
}

// adoptMembers makes the memberships in newly appended entries effective.
func (n *Node) adoptMembers(es []Entry) {
	for _, e := range es {
		if e.Kind != EntryMembers {
			continue
		}
		ms, err := decodeMembers(e.Data)
		if err != nil {
			panic("raft: membership entry was not checked: " + err.Error())
		}
		n.memberships = append(n.memberships, membershipAt{e.Index, ms})
		n.membersChanged()
	}
}

// revertMembers reverts the memberships of entries from i on, which were truncated.
func (n *Node) revertMembers(i fleet.Index) {
	k := len(n.memberships)
	for k > 1 && n.memberships[k-1].index >= i {
		k--
	}
	if k < len(n.memberships) {
		n.memberships = n.memberships[:k]
		n.membersChanged()
	}
}

// membersAt returns the membership in effect at an index.
func (n *Node) membersAt(i fleet.Index) Membership {
	for k := len(n.memberships) - 1; k > 0; k-- {
		if n.memberships[k].index <= i {
			return n.memberships[k].members
		}
	}
	return n.memberships[0].members
}

func (n *Node) membersChanged() {
	if m, ok := n.members().Find(n.cfg.Self); ok && !m.Learner && m.Storage == n.cfg.Storage && !n.state.Admitted {
		n.state.Admitted, n.stateDirty = true, true
	}
	if n.role != Leader {
		return
	}
	for _, m := range n.members() {
		if m.Host != n.cfg.Self && n.peers[m.Host] == nil {
			n.peers[m.Host] = &progress{next: n.log.last() + 1, lastAck: n.now, ackRound: n.round}
		}
	}
	n.round++
	n.heartbeatDue = true
	for h := range n.peers {
		if _, ok := n.members().Find(h); !ok {
			delete(n.peers, h)
		}
	}
}

// fromAdmittedStorage reports whether a reply counts: whether its sender is a learner, or a voter with the StorageID that
// the group admitted for it.
func (n *Node) fromAdmittedStorage(m *Message) bool {
	mem, ok := n.members().Find(m.From)
	switch {
	case !ok:
		return false
	case mem.Learner:
		return true
	case mem.Storage == 0:
		return m.Admitted
	default:
		return mem.Storage == m.Storage
	}
}

// admittedByCandidate reports whether a candidate's membership admits this host's StorageID.
func (n *Node) admittedByCandidate(m *Message) bool {
	return m.Expect == n.cfg.Storage || m.Expect == 0 && n.state.Admitted
}

// promotable reports whether this host may become leader. A host whose log contains its own removal may do so until it knows
// that the removal is committed: the others can't win an election against its longer log and may need entries that only
// this host has.
func (n *Node) promotable() bool {
	if n.halted {
		return false
	}
	if _, ok := n.members().Find(n.cfg.Self); !ok {
		return n.isVoterIn(n.membersAt(n.commit))
	}
	return n.isVoterIn(n.members())
}

// isVoterIn reports whether this host, with its current StorageID, is a voter of a membership.
func (n *Node) isVoterIn(ms Membership) bool {
	m, ok := ms.Find(n.cfg.Self)
	return ok && !m.Learner && (m.Storage == n.cfg.Storage || m.Storage == 0 && n.state.Admitted)
}

// helloQuorum returns how many other voters must accept a new StorageID. Any two sets of this size overlap, so of two
// StorageIDs of one host at most one is ever admitted, even if a few of the others are unreachable.
func helloQuorum(voters int) int { return min(voters-voters/2, voters-1) }

// helloPending reports whether the log doesn't record this host's StorageID yet and some other voter hasn't accepted it.
func (n *Node) helloPending() bool {
	self, ok := n.members().Find(n.cfg.Self)
	return ok && !self.Learner && self.Storage == 0 && len(n.helloAccepted) < len(n.members().Voters())-1
}

// tickHello sends MsgHello once per heartbeat interval to the voters that have not accepted this host's StorageID yet.
func (n *Node) tickHello() {
	if !n.helloPending() || n.now.Before(n.nextHelloAt) {
		return
	}
	n.nextHelloAt = n.now.Add(n.cfg.Heartbeat)
	for _, h := range n.members().Voters() {
		if h != n.cfg.Self && !n.helloAccepted[h] {
			n.send(Message{Kind: MsgHello, To: h})
		}
	}
	n.updateAdmitted()
}

// updateAdmitted marks this host as admitted once enough others have accepted its StorageID. A host without a membership,
// such as one with an empty disk, is never admitted.
func (n *Node) updateAdmitted() {
	m, ok := n.members().Find(n.cfg.Self)
	if !ok || m.Learner || n.state.Admitted {
		return
	}
	if len(n.helloAccepted) >= helloQuorum(len(n.members().Voters())) {
		n.state.Admitted, n.stateDirty = true, true
	}
}

func (n *Node) stepHello(m *Message) {
	known := n.recordedStorage(m.From)
	mem, ok := n.members().Find(m.From)
	if ok && !mem.Learner && known == 0 && m.Storage != 0 {
		n.state.Known = append(n.state.Known[:len(n.state.Known):len(n.state.Known)], Member{Host: m.From, Storage: m.Storage})
		n.stateDirty = true
		known = m.Storage
	}
	n.sendAfterSave(Message{Kind: MsgHelloReply, To: m.From, Expect: m.Storage, Reject: known != m.Storage})
}

// recordedStorage returns the StorageID that this host has recorded for another host, or 0 if there is none.
func (n *Node) recordedStorage(h fleet.HostID) StorageID {
	if m, ok := n.members().Find(h); ok && m.Storage != 0 {
		return m.Storage
	}
	for _, k := range n.state.Known {
		if k.Host == h {
			return k.Storage
		}
	}
	return 0
}

func (n *Node) stepHelloReply(m *Message) {
	if m.Expect != n.cfg.Storage {
		return
	}
	if m.Reject {
		n.refused = !n.state.Admitted
		return
	}
	n.helloAccepted[m.From] = true
	n.updateAdmitted()
}

// proposeStorages records in the log the StorageIDs with which voters of a new group have answered.
func (n *Node) proposeStorages() {
	if ms, filled := n.membersWithStorages(); filled && n.changeAllowed() == nil {
		n.changeMembers(ms)
	}
}

// membersWithStorages returns the membership with the StorageIDs filled in with which voters have answered, and whether it
// filled in any.
func (n *Node) membersWithStorages() (ms Membership, filled bool) {
	ms = n.members()
	for _, m := range ms {
		id := n.cfg.Storage
		if p := n.peers[m.Host]; p != nil {
			id = p.storage
		} else if m.Host != n.cfg.Self {
			id = 0
		}
		if !m.Learner && m.Storage == 0 && id != 0 {
			ms, filled = ms.with(Member{Host: m.Host, Storage: id}), true
		}
	}
	return ms, filled
}

// changeAllowed returns an error unless this host may begin a membership change or a transfer: it must be the leader, with
// no transfer in progress and with the previous change and the first entry of its term committed.
func (n *Node) changeAllowed() error {
	if n.role != Leader {
		return &NotLeader{Leader: n.leader}
	}
	if n.transferee != "" {
		return ErrBusy.New("leadership is being transferred; try again on the new leader")
	}
	if n.commit < n.termStart || n.memberships[len(n.memberships)-1].index > n.commit {
		return ErrBusy.New("an earlier membership change or the first entry of this term is not committed yet; try again later")
	}
	return nil
}

func (n *Node) changeMembers(ms Membership) fleet.Index {
	data, err := cbor.Marshal(ms)
	if err != nil {
		panic("raft: membership cannot be encoded: " + err.Error())
	}
	return n.appendOwn(Entry{Kind: EntryMembers, Data: data})
}

// AddLearner adds a host without a vote and returns the index of the change.
func (n *Node) AddLearner(now time.Time, h fleet.HostID) (fleet.Index, error) {
	n.advanceTime(now)
	if err := n.changeAllowed(); err != nil {
		return 0, err
	}
	if m, ok := n.members().Find(h); ok {
		if m.Learner {
			return 0, ErrMember.New("host %s is a learner already; promote it once it has caught up", h)
		}
		return 0, ErrMember.New("host %s is a voter; remove it first if its disk was lost", h)
	}
	return n.changeMembers(n.members().with(Member{Host: h, Learner: true})), nil
}

// Promote turns a learner that has caught up into a voter, and returns the index of the change.
func (n *Node) Promote(now time.Time, h fleet.HostID) (fleet.Index, error) {
	n.advanceTime(now)
	if err := n.changeAllowed(); err != nil {
		return 0, err
	}
	m, ok := n.members().Find(h)
	if !ok || !m.Learner {
		return 0, ErrMember.New("host %s is not a learner; add it as a learner first", h)
	}
	p := n.peers[h]
	if p == nil || p.storage == 0 || p.match+n.cfg.PromoteGap < n.commit || n.now.Sub(p.lastAck) > n.cfg.ElectionMax {
		return 0, ErrBusy.New("learner %s does not respond or has not caught up with entry %d; wait until it has", h, n.commit)
	}
	return n.changeMembers(n.members().with(Member{Host: h, Storage: p.storage})), nil
}

// Remove removes a host from the group and returns the index of the change.
func (n *Node) Remove(now time.Time, h fleet.HostID) (fleet.Index, error) {
	n.advanceTime(now)
	if err := n.changeAllowed(); err != nil {
		return 0, err
	}
	m, ok := n.members().Find(h)
	if !ok {
		return 0, ErrMember.New("host %s is not a member of the group", h)
	}
	if !m.Learner && len(n.members().Voters()) == 1 {
		return 0, ErrMember.New("host %s is the last voter; promote another one first", h)
	}
	return n.changeMembers(n.members().without(h)), nil
}
