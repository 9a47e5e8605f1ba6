package raft

import (
	"sort"
	"time"

	"toucanway/core/fleet"
)

// phase is the state of replication to one member.
type phase uint8

const (
	// probing searches for the last matching entry of the logs. It sends one message without entries at a time, so that a
	// member that can't answer, or whose answers don't count, causes no more traffic than heartbeats do.
	probing phase = iota
	// streaming sends entries without waiting for answers.
	streaming
	// snapshotting sends the chunks of a snapshot.
	snapshotting
)

// progress is the leader's record of replication to one member.
type progress struct {
	phase phase
	// match is the last entry known to match the leader's log, next the next entry to send.
	match fleet.Index
	next  fleet.Index
	// probeUnanswered is set while a probe is unanswered; the next one is sent with the next heartbeat at the latest.
	probeUnanswered bool
	// inflight holds the index of the last entry of each message in flight.
	inflight []fleet.Index
	// sentCommit is the commit index last sent.
	sentCommit fleet.Index
	// lastAck is when the last answer arrived, ackSent when the latest answered message was sent.
	lastAck       time.Time
	ackSent       time.Time
	ackRound      uint64
	storage       StorageID
	chunkOffset   int
	chunkSentAt   time.Time
	snapshotIndex fleet.Index
}

// Propose appends commands to the log and returns the index and term of the first one.
func (n *Node) Propose(now time.Time, commands ...[]byte) (fleet.Index, Term, error) {
	n.advanceTime(now)
	if n.role != Leader || n.halted || n.transferee != "" {
		leader := n.leader
		if n.transferee != "" {
			leader = n.transferee
		}
		return 0, 0, &NotLeader{Leader: leader}
	}
	if n.pendingBytes > n.cfg.MaxPending {
		return 0, 0, ErrBusy.New("%d bytes of proposed entries are not committed yet; try again later", n.pendingBytes)
	}
	first := n.log.last() + 1
	for _, c := range commands {
		n.appendOwn(Entry{Kind: EntryCommand, Data: c})
	}
	return first, n.state.Term, nil
}

// appendOwn appends an entry of the leader's own term.
func (n *Node) appendOwn(e Entry) fleet.Index {
	e.Index, e.Term = n.log.last()+1, n.state.Term
	n.log.append(e)
	n.pendingBytes += e.Size()
	n.adoptMembers([]Entry{e})
	return e.Index
}

// replicateAll queues the entries that each member lacks, and the heartbeats that are due.
func (n *Node) replicateAll() {
	for _, m := range n.members() {
		if p := n.peers[m.Host]; p != nil {
			n.replicate(m.Host, p)
		}
	}
	n.heartbeatDue = false
}

func (n *Node) replicate(to fleet.HostID, p *progress) {
	if p.phase != snapshotting && p.next <= n.log.offset {
		n.startSnapshot(p)
	}
	if p.phase == snapshotting {
		n.sendChunk(to, p)
		return
	}
	sent := false
	for p.phase == streaming && p.next <= n.log.last() && len(p.inflight) < n.cfg.MaxInflight {
		es := n.log.slice(p.next, n.log.last(), n.cfg.MaxBatch)
		n.sendAppend(to, p, es)
		sent = true
		p.next = es[len(es)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
	probe := p.phase == probing && !p.probeUnanswered
	if !sent && (n.heartbeatDue || probe || p.phase == streaming && p.sentCommit < n.commit) {
		n.sendAppend(to, p, nil)
		p.probeUnanswered = p.phase == probing
	}
}

func (n *Node) sendAppend(to fleet.HostID, p *progress, es []Entry) {
	prev := p.next - 1
	t, _ := n.log.term(prev)
	p.sentCommit = n.commit
	n.send(Message{
		Kind: MsgAppend, To: to, Index: prev, LogTerm: t, Entries: es, Commit: n.commit,
		Sent: n.now.Sub(n.epoch), Round: n.round,
	})
}

// acceptLeader accepts the sender of a message as the leader of the current term.
func (n *Node) acceptLeader(m *Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.lastLeaderContact, n.ballots = n.now, 0
	n.resetElectionTimeout()
}

func (n *Node) stepAppend(m *Message) error {
	n.acceptLeader(m)
	reply := Message{Kind: MsgAppendReply, To: m.From, Sent: m.Sent, Round: m.Round}
	prev, es := m.Index, m.Entries
	if prev < n.commit {
		// All entries up to the commit index match the leader's log.
		skip := min(n.commit-prev, fleet.Index(len(es)))
		prev, es = prev+skip, es[skip:]
		if prev < n.commit {
			reply.Index = n.commit
			n.sendAfterSave(reply)
			return nil
		}
	} else if t, ok := n.log.term(prev); !ok || t != m.LogTerm {
		reply.Reject, reply.Index = true, prev
		reply.Hint, reply.HintTerm = n.log.lastBefore(prev, m.LogTerm)
		n.sendAfterSave(reply)
		return nil
	}
	if err := n.mergeEntries(es); err != nil {
		return err
	}
	reply.Index = prev + fleet.Index(len(es))
	n.commit = max(n.commit, min(m.Commit, reply.Index))
	n.sendAfterSave(reply)
	return nil
}

// mergeEntries appends the entries that this host lacks and truncates its log from the first conflicting entry on.
func (n *Node) mergeEntries(es []Entry) error {
	for i, e := range es {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			if e.Index <= n.commit {
				return ErrCorrupt.New("leader %s has entry %d of term %d, which is committed here with term %d; compare the "+
					"two hosts' data and replace the voter whose disk is damaged", n.leader, e.Index, e.Term, t)
			}
			n.log.truncate(e.Index)
			n.revertMembers(e.Index)
			n.firstUnsaved, n.stable = min(n.firstUnsaved, e.Index), min(n.stable, e.Index-1)
		}
		n.log.append(es[i:]...)
		n.adoptMembers(es[i:])
		return nil
	}
	return nil
}

// stepReply processes a member's reply to an append message or a snapshot chunk.
func (n *Node) stepReply(m *Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	if !n.fromAdmittedStorage(m) {
		n.send(Message{Kind: MsgHelloReply, To: m.From, Expect: m.Storage, Reject: true})
		return
	}
	if p.storage != m.Storage {
		if m.Round <= p.ackRound {
			// The answer was sent before the member's data folder was replaced.
			return
		}
		*p = progress{next: n.log.last() + 1, storage: m.Storage}
	}
	p.lastAck = n.now
	if sent := n.epoch.Add(m.Sent); sent.After(p.ackSent) {
		p.ackSent = sent
	}
	p.ackRound = max(p.ackRound, m.Round)
	n.confirmReads()
	switch {
	case m.Kind == MsgSnapshotReply:
		n.handleChunkReply(m, p)
	case m.Reject:
		n.handleReject(m, p)
	default:
		n.handleMatch(m, p)
	}
}

func (n *Node) handleReject(m *Message, p *progress) {
	if p.phase == snapshotting || m.Index <= p.match || m.Index >= p.next {
		return
	}
	i, _ := n.log.lastBefore(m.Hint, m.HintTerm)
	p.next = max(p.match, min(i, m.Index-1)) + 1
	p.phase, p.probeUnanswered, p.inflight = probing, false, nil
}

func (n *Node) handleMatch(m *Message, p *progress) {
	if m.Index > n.log.last() {
		return
	}
	if p.phase == snapshotting && m.Index < p.snapshotIndex {
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.phase, p.probeUnanswered = streaming, false
	k := sort.Search(len(p.inflight), func(i int) bool { return p.inflight[i] > p.match })
	p.inflight = p.inflight[k:]
	n.maybeCommit()
	if n.role == Leader && m.From == n.transferee {
		n.tryTransfer()
	}
}

// maybeCommit advances the commit index to the last entry of the leader's own term that a quorum has on disk.
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	voters := n.members().Voters()
	match := make([]fleet.Index, 0, len(voters))
	for _, h := range voters {
		if h == n.cfg.Self {
			match = append(match, n.stable)
		} else if p := n.peers[h]; p != nil {
			match = append(match, p.match)
		}
	}
	q := quorum(len(voters))
	if len(match) < q {
		return
	}
	sort.Slice(match, func(i, j int) bool { return match[i] > match[j] })
	i := match[q-1]
	if t, ok := n.log.term(i); i <= n.commit || !ok || t != n.state.Term {
		return
	}
	for _, e := range n.log.slice(n.commit+1, i, 1<<62) {
		n.pendingBytes -= e.Size()
	}
	n.pendingBytes = max(n.pendingBytes, 0)
	n.commit = i
	n.confirmReads()
	if _, ok := n.members().Find(n.cfg.Self); !ok && n.memberships[len(n.memberships)-1].index <= n.commit {
		// This host's removal is now committed: send the commit index to the others, then step down.
		n.heartbeatDue = true
		n.replicateAll()
		n.becomeFollower(n.state.Term, "")
	}
}
