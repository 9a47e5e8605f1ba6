package raft

import (
	"time"

	"toucanway/core/fleet"
)

// resetElection starts the wait for a leader anew.
func (n *Node) resetElection() {
	n.electionAt = n.now.Add(n.between(n.set.ElectionMin, n.set.ElectionMax))
}

func (n *Node) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(n.rand.Int64N(int64(hi-lo)))
}

// shortRetries is after how many ballots in a row, two for each election, an election no longer follows soon. A host that is cut off, or was removed without
// hearing of it, tries on at the full timeout.
const shortRetries = 6

// retryElection waits shortly after an election that may fail; the full timeout would exceed the bound of 1.5 s.
func (n *Node) retryElection() {
	if n.tries++; n.tries > shortRetries {
		n.resetElection()
		return
	}
	n.electionAt = n.now.Add(n.between(n.set.ElectionMin/6, n.set.ElectionMin/2))
}

// sticky says whether a leader may hold a lease that counts on this host. It also holds for one timeout after a
// start, since the host no longer knows what it acknowledged before.
func (n *Node) sticky() bool {
	return n.role == Leader || n.now.Sub(n.contact) < n.set.ElectionMin
}

func (n *Node) becomeFollower(t Term, leader fleet.HostID) {
	if t > n.state.Term {
		n.state.Term, n.state.Vote, n.stateDirty = t, "", true
	}
	if n.role != Follower || leader != n.leader {
		n.resetElection()
	}
	n.role, n.leader, n.votes, n.transfer = Follower, leader, nil, false
	n.peers, n.reads, n.transferee, n.heartbeatDue, n.pending = nil, nil, "", false, 0
}

func (n *Node) preCampaign() {
	n.becomeFollower(n.state.Term, "")
	n.role = PreCandidate
	n.retryElection()
	n.poll(MsgPreVote, n.state.Term+1)
}

func (n *Node) campaign() {
	n.role, n.leader = Candidate, ""
	n.state.Term++
	n.state.Vote, n.stateDirty = n.set.Self, true
	n.retryElection()
	n.poll(MsgVote, n.state.Term)
}

// poll asks the other voters and counts this host's own vote.
func (n *Node) poll(k MessageKind, t Term) {
	n.votes = map[fleet.HostID]StorageID{n.set.Self: n.set.Storage}
	for _, m := range n.members() {
		if m.Host == n.set.Self || m.Learner {
			continue
		}
		n.sendSaved(Message{
			Kind: k, To: m.Host, Term: t, Expect: m.Storage, Transfer: n.transfer,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
	n.countVotes()
}

func (n *Node) stepPreVote(m *Message) {
	ok := m.Term > n.state.Term && n.mayVote(m) && !n.sticky() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Reject: !ok}
	if ok {
		reply.Term = m.Term
	}
	n.sendSaved(reply)
}

func (n *Node) stepVote(m *Message) {
	ok := (n.state.Vote == "" || n.state.Vote == m.From) && n.mayVote(m) && n.log.upToDate(m.Index, m.LogTerm)
	if ok && n.state.Vote == "" {
		n.becomeFollower(n.state.Term, "")
		n.state.Vote, n.stateDirty = m.From, true
		n.resetElection()
	}
	n.sendSaved(Message{Kind: MsgVoteReply, To: m.From, Reject: !ok})
}

func (n *Node) stepVoteReply(m *Message) {
	if !n.counts(m) {
		return
	}
	pre := m.Kind == MsgPreVoteReply
	if pre != (n.role == PreCandidate) || !pre && n.role != Candidate || pre && !m.Reject && m.Term != n.state.Term+1 {
		return
	}
	if !m.Reject {
		n.votes[m.From] = m.Storage
		n.countVotes()
	}
}

func (n *Node) countVotes() {
	yes, voters := 0, n.members().Voters()
	for _, h := range voters {
		if n.votes[h] != 0 {
			yes++
		}
	}
	if yes < quorum(len(voters)) {
		return
	}
	switch n.role {
	case PreCandidate:
		n.campaign()
	case Candidate:
		n.becomeLeader()
	case Follower, Leader:
	}
}

func (n *Node) becomeLeader() {
	n.tries, n.since = 0, n.now
	votes := n.votes
	n.role, n.leader, n.votes, n.transfer = Leader, n.set.Self, nil, false
	n.leaseBarred = false
	n.peers = map[fleet.HostID]*progress{}
	n.membersChanged()
	for h, p := range n.peers {
		p.storage = votes[h]
	}
	n.heartbeatAt = n.now
	n.termStart = n.log.last() + 1
	if len(n.history) == 1 && n.history[0].index == 0 {
		// The first entry of the log names the members, for hosts whose settings don't.
		ms, _ := n.filled()
		n.changeMembers(ms)
		return
	}
	n.appendOwn(Entry{Kind: EntryNoop})
}

// tickLeader sends heartbeats, and steps down when no quorum has answered for an election timeout.
func (n *Node) tickLeader() {
	heard, ok := n.quorumTime(func(p *progress) time.Time { return p.lastAck }, n.now)
	if !ok || n.now.Sub(heard) > n.set.ElectionMax {
		n.becomeFollower(n.state.Term, "")
		return
	}
	if n.transferee != "" && !n.now.Before(n.transferBy) {
		n.endTransfer()
		if n.role != Leader {
			return
		}
	}
	if !n.now.Before(n.heartbeatAt) {
		n.heartbeatAt = n.now.Add(n.set.Heartbeat)
		n.heartbeatDue = true
		n.round++
	}
	n.fillStorages()
}

// TransferLeadership hands leadership to a voter, which starts an election as soon as it has the whole log. The
// leader takes no proposals meanwhile, and its lease ends.
func (n *Node) TransferLeadership(now time.Time, to fleet.HostID) error {
	n.setNow(now)
	if err := n.changeAllowed(); err != nil {
		return err
	}
	m, ok := n.members().Find(to)
	if !ok || m.Learner || to == n.set.Self {
		return ErrMember.New("host %s is no other voter of the group; name one", to)
	}
	n.transferee, n.transferBy = to, n.now.Add(n.set.ElectionMin)
	n.tryTransfer()
	return nil
}

func (n *Node) tryTransfer() {
	if p := n.peers[n.transferee]; p == nil || p.match < n.log.last() || n.leaseBarred {
		return
	}
	n.leaseBarred = true
	n.send(Message{Kind: MsgTimeoutNow, To: n.transferee})
}

// endTransfer gives up a transfer. If the order may still arrive, this host steps down, so that no lease of
// this term can overlap the election that it may start.
func (n *Node) endTransfer() {
	n.transferee = ""
	if n.leaseBarred {
		n.becomeFollower(n.state.Term, "")
	}
}
