package raft

import (
	"sort"
	"time"

	"toucanway/core/fleet"
)

// leaseDuration returns the lease duration on the leader's clock. For this time after the leader sent a heartbeat that a
// quorum answered, no other host can become leader.
func (n *Node) leaseDuration() time.Duration {
	return time.Duration(float64(n.cfg.ElectionMin) * (1 - fleet.MaxClockDrift))
}

// LeaseValid reports whether this host is the leader and no other host can be leader at the given time. A lease is valid
// only once an entry of the leader's own term is committed, so that the holder's state contains all that earlier leaders
// committed.
func (n *Node) LeaseValid(now time.Time) bool {
	if n.role != Leader || n.leaseRevoked || n.commit < n.termStart || n.halted {
		return false
	}
	sent, ok := n.quorumTime(func(p *progress) time.Time { return p.ackSent }, now)
	return ok && now.Sub(sent) < n.leaseDuration()
}

// quorumTime returns the latest time t such that a quorum of voters has a time of t or later. peerTime returns the time of
// another voter, selfTime is that of this host. It returns false if fewer voters than a quorum have a time.
func (n *Node) quorumTime(peerTime func(*progress) time.Time, selfTime time.Time) (time.Time, bool) {
	var ts []time.Time
	voters := n.members().Voters()
	for _, h := range voters {
		if h == n.cfg.Self {
			ts = append(ts, selfTime)
		} else if p := n.peers[h]; p != nil {
			ts = append(ts, peerTime(p))
		}
	}
	q := quorum(len(voters))
	if len(ts) < q {
		return time.Time{}, false
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i].After(ts[j]) })
	return ts[q-1], !ts[q-1].IsZero()
}

// ReadID identifies a read barrier that ReadIndex began.
type ReadID uint64

// Read is a read barrier that a quorum has confirmed: a state machine that has applied Index contains all that was
// committed before ReadIndex was called.
type Read struct {
	ID    ReadID
	Index fleet.Index
}

type pendingRead struct {
	id    ReadID
	index fleet.Index
	round uint64
}

// ReadIndex begins a read barrier; Ready returns it once a quorum has confirmed the leader after this call.
func (n *Node) ReadIndex(now time.Time) (ReadID, error) {
	n.advanceTime(now)
	if n.role != Leader || n.halted {
		return 0, &NotLeader{Leader: n.leader}
	}
	if len(n.reads) >= maxPendingReads {
		return 0, ErrBusy.New("%d read barriers already wait for a quorum; try again later", len(n.reads))
	}
	n.lastReadID++
	n.round++
	n.heartbeatDue = true
	n.reads = append(n.reads, pendingRead{n.lastReadID, max(n.commit, n.termStart), n.round})
	return n.lastReadID, nil
}

// maxPendingReads bounds the read barriers that wait for a quorum.
const maxPendingReads = 4096

// confirmReads completes the read barriers whose heartbeat round a quorum has answered.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 || n.commit < n.termStart {
		return
	}
	voters := n.members().Voters()
	k := 0
	for _, r := range n.reads {
		acks := 0
		for _, h := range voters {
			if p := n.peers[h]; h == n.cfg.Self || p != nil && p.ackRound >= r.round {
				acks++
			}
		}
		if acks < quorum(len(voters)) {
			break
		}
		n.confirmedReads = append(n.confirmedReads, Read{r.id, r.index})
		k++
	}
	n.reads = n.reads[k:]
}
