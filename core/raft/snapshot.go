package raft

import (
	"time"

	"toucanway/core/fleet"
)

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	from  fleet.HostID
	index fleet.Index
	term  Term
	data  []byte
}

// chunkRetry is the number of heartbeat intervals after which an unanswered chunk is sent again.
const chunkRetry = 3

// SnapshotAt returns the snapshot for index i without its data. It returns false if entry i is compacted or Ready has not
// returned it for application yet.
func (n *Node) SnapshotAt(i fleet.Index) (Snapshot, bool) {
	t, ok := n.log.term(i)
	return Snapshot{Index: i, Term: t, Members: n.membersAt(i)}, ok && i <= n.lastApplyIssued
}

// LastSnapshot returns the latest snapshot that was saved or installed; its Index is 0 if there is none.
func (n *Node) LastSnapshot() Snapshot { return n.snapshot }

// Compact records a snapshot that is saved on disk and drops the entries up to keepAfter or the snapshot's index, whichever
// is lower.
func (n *Node) Compact(s Snapshot, keepAfter fleet.Index) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = s
	n.log.compact(min(keepAfter, s.Index))
	n.trimMemberships(n.log.offset)
}

// trimMemberships drops the memberships before the one in effect at an index.
func (n *Node) trimMemberships(i fleet.Index) {
	k := 0
	for k+1 < len(n.memberships) && n.memberships[k+1].index <= i {
		k++
	}
	n.memberships = append([]membershipAt(nil), n.memberships[k:]...)
}

func (n *Node) startSnapshot(p *progress) {
	p.phase, p.snapshotIndex, p.chunkOffset, p.chunkSentAt, p.inflight = snapshotting, n.snapshot.Index, 0, time.Time{}, nil
}

// sendChunk sends the next chunk, or the last one again if it was not answered within chunkRetry heartbeat intervals.
func (n *Node) sendChunk(to fleet.HostID, p *progress) {
	if p.snapshotIndex != n.snapshot.Index {
		n.startSnapshot(p)
	}
	if n.now.Sub(p.chunkSentAt) < chunkRetry*n.cfg.Heartbeat {
		if n.heartbeatDue {
			n.sendHeartbeat(to)
		}
		return
	}
	p.chunkSentAt = n.now
	s := &n.snapshot
	end := min(p.chunkOffset+int(n.cfg.ChunkSize), len(s.Data))
	n.send(Message{
		Kind: MsgSnapshot, To: to, Index: s.Index, LogTerm: s.Term, Sent: n.now.Sub(n.epoch), Round: n.round,
		Chunk: &Chunk{Members: s.Members, Offset: p.chunkOffset, Total: len(s.Data), Data: s.Data[p.chunkOffset:end:end]},
	})
}

// sendHeartbeat sends a heartbeat to a member that receives a snapshot, so that it starts no election. The message names
// entry 0 as the previous entry, which always matches.
func (n *Node) sendHeartbeat(to fleet.HostID) {
	n.send(Message{Kind: MsgAppend, To: to, Sent: n.now.Sub(n.epoch), Round: n.round})
}

func (n *Node) handleChunkReply(m *Message, p *progress) {
	if p.phase != snapshotting || m.Index != p.snapshotIndex || int(m.Hint) > len(n.snapshot.Data) {
		return
	}
	if off := int(m.Hint); off != p.chunkOffset {
		p.chunkOffset, p.chunkSentAt = off, time.Time{}
	}
}

func (n *Node) stepSnapshot(m *Message) {
	n.acceptLeader(m)
	c := m.Chunk
	if c == nil {
		return
	}
	if m.Index <= n.commit {
		n.incoming = nil
		n.sendAfterSave(Message{Kind: MsgAppendReply, To: m.From, Index: n.commit, Sent: m.Sent, Round: m.Round})
		return
	}
	in := n.incoming
	if in == nil || in.index != m.Index || in.term != m.LogTerm || in.from != m.From {
		in = &incomingSnapshot{from: m.From, index: m.Index, term: m.LogTerm}
		n.incoming = in
	}
	if c.Offset == len(in.data) {
		in.data = append(in.data, c.Data...)
	}
	if len(in.data) < c.Total {
		n.sendAfterSave(Message{
			Kind: MsgSnapshotReply, To: m.From, Index: m.Index, Hint: fleet.Index(len(in.data)), Sent: m.Sent, Round: m.Round,
		})
		return
	}
	n.incoming = nil
	if t, ok := n.log.term(m.Index); ok && t == m.LogTerm {
		// The entries after the snapshot may have been acknowledged and must be kept.
		n.commit = m.Index
	} else {
		n.installSnapshot(Snapshot{Index: m.Index, Term: m.LogTerm, Members: c.Members, Data: in.data})
	}
	n.sendAfterSave(Message{Kind: MsgAppendReply, To: m.From, Index: n.commit, Sent: m.Sent, Round: m.Round})
}

// installSnapshot replaces the log by a snapshot of committed entries that this host lacks.
func (n *Node) installSnapshot(s Snapshot) {
	n.snapshot, n.unsavedSnapshot = s, &s
	n.log.reset(s.Index, s.Term)
	n.firstUnsaved, n.stable = s.Index+1, s.Index
	n.commit, n.lastApplyIssued = s.Index, s.Index
	n.memberships = []membershipAt{{s.Index, s.Members}}
	n.membersChanged()
}
