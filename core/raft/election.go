package raft

import (
	"time"

	"toucanway/core/fleet"
)

// resetElectionTimeout restarts the election timeout with a new random duration.
func (n *Node) resetElectionTimeout() {
	n.electionDeadline = n.now.Add(n.randomDuration(n.cfg.ElectionMin, n.cfg.ElectionMax))
}

func (n *Node) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(n.rand.Int64N(int64(hi-lo)))
}

// maxEarlyRetries is the number of ballots in a row (two for each election: pre-vote and vote) that are retried early. A host
// that is partitioned, or that was removed without knowing it, then retries at the full election timeout only.
const maxEarlyRetries = 6

// scheduleElectionRetry schedules a new election in case this one fails. The retry delay is well below the full election
// timeout, with which a repeated election would exceed the bound of 1.5 s.
func (n *Node) scheduleElectionRetry() {
	if n.ballots++; n.ballots > maxEarlyRetries {
		n.resetElectionTimeout()
		return
	}
	n.electionDeadline = n.now.Add(n.randomDuration(n.cfg.ElectionMin/6, n.cfg.ElectionMin/2))
}

// leaderMayHoldLease reports whether a leader may hold a lease that depends on this host's acknowledgement. For ElectionMin
// after a start it assumes so, since the host does not know what it acknowledged before.
func (n *Node) leaderMayHoldLease() bool {
	return n.role == Leader || n.now.Sub(n.lastLeaderContact) < n.cfg.ElectionMin
}

func (n *Node) becomeFollower(t Term, leader fleet.HostID) {
	if t > n.state.Term {
		n.state.Term, n.state.Vote, n.state.Led, n.stateDirty = t, "", false, true
	}
	if n.role != Follower || leader != n.leader {
		n.resetElectionTimeout()
	}
	n.role, n.leader, n.votes, n.electionByTransfer = Follower, leader, nil, false
	n.peers, n.reads, n.transferee, n.heartbeatDue, n.pendingBytes = nil, nil, "", false, 0
}

func (n *Node) preCampaign() {
	n.becomeFollower(n.state.Term, "")
	n.role = PreCandidate
	n.scheduleElectionRetry()
	n.requestVotes(MsgPreVote, n.state.Term+1, n.state.Led)
}

func (n *Node) campaign() {
	n.role, n.leader = Candidate, ""
	led := n.state.Led
	n.state.Term++
	n.state.Vote, n.state.Led, n.stateDirty = n.cfg.Self, false, true
	n.scheduleElectionRetry()
	n.requestVotes(MsgVote, n.state.Term, led)
}

// requestVotes sends a vote request of the given kind to the other voters and counts this host's own vote. led is set if this host
// led the term before t.
func (n *Node) requestVotes(k MessageKind, t Term, led bool) {
	n.votes = map[fleet.HostID]StorageID{n.cfg.Self: n.cfg.Storage}
	for _, m := range n.members() {
		if m.Host == n.cfg.Self || m.Learner {
			continue
		}
		n.sendAfterSave(Message{
			Kind: k, To: m.Host, Term: t, Expect: m.Storage, Transfer: n.electionByTransfer, Led: led,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
	n.countVotes()
}

func (n *Node) stepPreVote(m *Message) {
	ok := m.Term > n.state.Term && n.admittedByCandidate(m) && (m.Led || !n.leaderMayHoldLease()) && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Reject: !ok}
	if ok {
		reply.Term = m.Term
	}
	n.sendAfterSave(reply)
}

func (n *Node) stepVote(m *Message) {
	ok := (n.state.Vote == "" || n.state.Vote == m.From) && n.admittedByCandidate(m) && n.log.upToDate(m.Index, m.LogTerm)
	if ok && n.state.Vote == "" {
		n.becomeFollower(n.state.Term, "")
		n.state.Vote, n.stateDirty = m.From, true
		n.resetElectionTimeout()
	}
	n.sendAfterSave(Message{Kind: MsgVoteReply, To: m.From, Reject: !ok})
}

func (n *Node) stepVoteReply(m *Message) {
	if !n.fromAdmittedStorage(m) {
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
	n.ballots, n.electedAt = 0, n.now
	votes := n.votes
	n.role, n.leader, n.votes, n.electionByTransfer = Leader, n.cfg.Self, nil, false
	n.leaseRevoked = false
	n.state.Led, n.stateDirty = true, true
	n.peers = map[fleet.HostID]*progress{}
	n.membersChanged()
	for h, p := range n.peers {
		p.storage = votes[h]
	}
	n.nextHeartbeatAt = n.now
	n.termStart = n.log.last() + 1
	if len(n.memberships) == 1 && n.memberships[0].index == 0 {
		// The first entry of the log records the members, for hosts whose settings don't name them.
		ms, _ := n.membersWithStorages()
		n.changeMembers(ms)
		return
	}
	n.appendOwn(Entry{Kind: EntryNoop})
}

// tickLeader schedules heartbeats, and steps down when no quorum has answered for ElectionMax.
func (n *Node) tickLeader() {
	lastQuorumAck, ok := n.quorumTime(func(p *progress) time.Time { return p.lastAck }, n.now)
	if !ok || n.now.Sub(lastQuorumAck) > n.cfg.ElectionMax {
		n.becomeFollower(n.state.Term, "")
		return
	}
	if n.transferee != "" && !n.now.Before(n.transferDeadline) {
		n.endTransfer()
		if n.role != Leader {
			return
		}
	}
	if !n.now.Before(n.nextHeartbeatAt) {
		n.nextHeartbeatAt = n.now.Add(n.cfg.Heartbeat)
		n.heartbeatDue = true
		n.round++
	}
	n.proposeStorages()
}

// TransferLeadership begins a leadership transfer to another voter: once that voter has the whole log, the leader sends it
// MsgTimeoutNow. The leader refuses proposals until the transfer ends, and its lease ends when it sends that message.
func (n *Node) TransferLeadership(now time.Time, to fleet.HostID) error {
	n.advanceTime(now)
	if err := n.changeAllowed(); err != nil {
		return err
	}
	m, ok := n.members().Find(to)
	if !ok || m.Learner || to == n.cfg.Self {
		return ErrMember.New("leadership cannot go to host %s, which is not another voter of the group; name one that is", to)
	}
	n.transferee, n.transferDeadline = to, n.now.Add(n.cfg.ElectionMin)
	n.tryTransfer()
	return nil
}

func (n *Node) tryTransfer() {
	if p := n.peers[n.transferee]; p == nil || p.match < n.log.last() || n.leaseRevoked {
		return
	}
	n.leaseRevoked = true
	n.send(Message{Kind: MsgTimeoutNow, To: n.transferee})
}

// endTransfer cancels a transfer. If MsgTimeoutNow was sent and may still arrive, this host steps down, so that no lease
// of this term can overlap the election that the message may start.
func (n *Node) endTransfer() {
	n.transferee = ""
	if n.leaseRevoked {
		n.becomeFollower(n.state.Term, "")
	}
}
