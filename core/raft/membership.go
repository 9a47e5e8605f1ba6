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
	// Storage is the folder that the group admitted; 0 if not known yet.
	Storage StorageID `cbor:"2,keyasint,omitempty"`
	// Learner receives the log but has no vote.
	Learner bool `cbor:"3,keyasint,omitempty"`
}

// Membership lists the hosts of a group in order of their ids.
type Membership []Member

// Find returns the member of a host, and whether there is one.
func (ms Membership) Find(h fleet.HostID) (Member, bool) {
	for _, m := range ms {
		if m.Host == h {
			return m, true
		}
	}
	return Member{}, false
}

// with returns a copy that holds m in place of the member of the same host, if any.
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

// membershipAt is a membership and the entry that holds it.
type membershipAt struct {
	index   fleet.Index
	members Membership
}

// members returns the latest membership in the log, committed or not.
func (n *Node) members() Membership { return n.history[len(n.history)-1].members }

func decodeMembers(data []byte) (Membership, error) {
	var ms Membership
	if err := cbor.Unmarshal(data, &ms); err != nil {
		return nil, ErrMessage.Wrap(err, "membership entry cannot be decoded; check that all hosts run one version")
	}
	return ms, nil
}

// noteMembers puts the memberships of newly appended entries in force.
func (n *Node) noteMembers(es []Entry) {
	for _, e := range es {
		if e.Kind != EntryMembers {
			continue
		}
		ms, err := decodeMembers(e.Data)
		if err != nil {
			panic("raft: membership entry was not checked: " + err.Error())
		}
		n.history = append(n.history, membershipAt{e.Index, ms})
		n.membersChanged()
	}
}

// dropMembers takes back the memberships of entries from i on, which were truncated.
func (n *Node) dropMembers(i fleet.Index) {
	k := len(n.history)
	for k > 1 && n.history[k-1].index >= i {
		k--
	}
	if k < len(n.history) {
		n.history = n.history[:k]
		n.membersChanged()
	}
}

// membersAt returns the membership in force at an index.
func (n *Node) membersAt(i fleet.Index) Membership {
	for k := len(n.history) - 1; k > 0; k-- {
		if n.history[k].index <= i {
			return n.history[k].members
		}
	}
	return n.history[0].members
}

func (n *Node) membersChanged() {
	if m, ok := n.members().Find(n.set.Self); ok && !m.Learner && m.Storage == n.set.Storage && !n.state.Admitted {
		n.state.Admitted, n.stateDirty = true, true
	}
	if n.role != Leader {
		return
	}
	for _, m := range n.members() {
		if m.Host != n.set.Self && n.peers[m.Host] == nil {
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

// counts says whether a reply comes from the folder that the group admitted for its sender.
func (n *Node) counts(m *Message) bool {
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

// mayVote says whether this host's folder is the one that a candidate's membership admits.
func (n *Node) mayVote(m *Message) bool {
	return m.Expect == n.set.Storage || m.Expect == 0 && n.state.Admitted
}

// promotable says whether this host may become leader. A host that holds its own removal without knowing that it is
// committed may have to lead once more: the others may need the entries that only it holds, and can't outvote it.
func (n *Node) promotable() bool {
	if n.halted {
		return false
	}
	if _, ok := n.members().Find(n.set.Self); !ok {
		return n.votesIn(n.membersAt(n.commit))
	}
	return n.votesIn(n.members())
}

// votesIn says whether this host, with its present folder, is a voter of a membership.
func (n *Node) votesIn(ms Membership) bool {
	m, ok := ms.Find(n.set.Self)
	return ok && !m.Learner && (m.Storage == n.set.Storage || m.Storage == 0 && n.state.Admitted)
}

// helloNeeded returns how many others must accept a new folder. The sets that accept two folders of one host
// overlap at this size, so that of these two at most one is ever admitted, even if a few others can't be asked.
func helloNeeded(voters int) int { return min(voters-voters/2, voters-1) }

// introducing says whether the log doesn't name this host's folder yet, and some voter hasn't accepted it.
func (n *Node) introducing() bool {
	self, ok := n.members().Find(n.set.Self)
	return ok && !self.Learner && self.Storage == 0 && len(n.accepted) < len(n.members().Voters())-1
}

// tickHello introduces a new folder until every other voter has accepted it.
func (n *Node) tickHello() {
	if !n.introducing() || n.now.Before(n.helloAt) {
		return
	}
	n.helloAt = n.now.Add(n.set.Heartbeat)
	for _, h := range n.members().Voters() {
		if h != n.set.Self && !n.accepted[h] {
			n.send(Message{Kind: MsgHello, To: h})
		}
	}
	n.admit()
}

// admit notes that enough others have accepted this host's folder. A host that knows no group yet, as with an empty disk, is
// not admitted by anybody.
func (n *Node) admit() {
	m, ok := n.members().Find(n.set.Self)
	if !ok || m.Learner || n.state.Admitted {
		return
	}
	if len(n.accepted) >= helloNeeded(len(n.members().Voters())) {
		n.state.Admitted, n.stateDirty = true, true
	}
}

func (n *Node) stepHello(m *Message) {
	known := n.expected(m.From)
	mem, ok := n.members().Find(m.From)
	if ok && !mem.Learner && known == 0 && m.Storage != 0 {
		n.state.Known = append(n.state.Known[:len(n.state.Known):len(n.state.Known)], Member{Host: m.From, Storage: m.Storage})
		n.stateDirty = true
		known = m.Storage
	}
	n.sendSaved(Message{Kind: MsgHelloReply, To: m.From, Expect: m.Storage, Reject: known != m.Storage})
}

// expected returns the folder that this host remembers of another one; 0 if none.
func (n *Node) expected(h fleet.HostID) StorageID {
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
	if m.Expect != n.set.Storage {
		return
	}
	if m.Reject {
		n.refused = !n.state.Admitted
		return
	}
	n.accepted[m.From] = true
	n.admit()
}

// fillStorages records in the log the folders under which voters of a new group have answered.
func (n *Node) fillStorages() {
	if ms, filled := n.filled(); filled && n.changeAllowed() == nil {
		n.changeMembers(ms)
	}
}

// filled returns the membership with the folders under which voters have answered, and whether that adds any.
func (n *Node) filled() (ms Membership, filled bool) {
	ms = n.members()
	for _, m := range ms {
		id := n.set.Storage
		if p := n.peers[m.Host]; p != nil {
			id = p.storage
		} else if m.Host != n.set.Self {
			id = 0
		}
		if !m.Learner && m.Storage == 0 && id != 0 {
			ms, filled = ms.with(Member{Host: m.Host, Storage: id}), true
		}
	}
	return ms, filled
}

// changeAllowed refuses a membership change while another one, or the first entry of the term, isn't committed.
func (n *Node) changeAllowed() error {
	if n.role != Leader {
		return &NotLeader{Leader: n.leader}
	}
	if n.transferee != "" {
		return ErrBusy.New("leadership is being transferred; try again on the new leader")
	}
	if n.commit < n.termStart || n.history[len(n.history)-1].index > n.commit {
		return ErrBusy.New("an earlier change is not committed yet; try again after it is")
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
	n.setNow(now)
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

// Promote makes a voter of a learner that has caught up, and returns the index of the change.
func (n *Node) Promote(now time.Time, h fleet.HostID) (fleet.Index, error) {
	n.setNow(now)
	if err := n.changeAllowed(); err != nil {
		return 0, err
	}
	m, ok := n.members().Find(h)
	if !ok || !m.Learner {
		return 0, ErrMember.New("host %s is no learner; add it as a learner first", h)
	}
	p := n.peers[h]
	if p == nil || p.storage == 0 || p.match+n.set.PromoteGap < n.commit || n.now.Sub(p.lastAck) > n.set.ElectionMax {
		return 0, ErrBusy.New("learner %s has not caught up with entry %d; wait until it has", h, n.commit)
	}
	return n.changeMembers(n.members().with(Member{Host: h, Storage: p.storage})), nil
}

// Remove takes a host out of the group and returns the index of the change.
func (n *Node) Remove(now time.Time, h fleet.HostID) (fleet.Index, error) {
	n.setNow(now)
	if err := n.changeAllowed(); err != nil {
		return 0, err
	}
	m, ok := n.members().Find(h)
	if !ok {
		return 0, ErrMember.New("host %s is no member of the group", h)
	}
	if !m.Learner && len(n.members().Voters()) == 1 {
		return 0, ErrMember.New("host %s is the last voter; promote another one first", h)
	}
	return n.changeMembers(n.members().without(h)), nil
}
