package raft

import (
	"sort"
	"time"

	"toucanway/core/fleet"
)

// leaseFor is how long a quorum's answer to a heartbeat keeps other leaders away, on the leader's clock.
func (n *Node) leaseFor() time.Duration {
	return time.Duration(float64(n.set.ElectionMin) * (1 - fleet.MaxClockSkewRate))
}

// LeaseValid says whether no other host can be leader at the given time. It holds only once an entry of the
// leader's own term is committed, so that a holder's state contains all that earlier leaders committed.
func (n *Node) LeaseValid(now time.Time) bool {
	if n.role != Leader || n.leaseBarred || n.commit < n.termStart || n.halted {
		return false
	}
	sent, ok := n.quorumTime(func(p *progress) time.Time { return p.ackSent }, now)
	return ok && now.Sub(sent) < n.leaseFor()
}

// quorumTime returns the latest time that a quorum of voters has reached, with own for this host.
func (n *Node) quorumTime(of func(*progress) time.Time, own time.Time) (time.Time, bool) {
	var ts []time.Time
	voters := n.members().Voters()
	for _, h := range voters {
		if h == n.set.Self {
			ts = append(ts, own)
		} else if p := n.peers[h]; p != nil {
			ts = append(ts, of(p))
		}
	}
	q := quorum(len(voters))
	if len(ts) < q {
		return time.Time{}, false
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i].After(ts[j]) })
	return ts[q-1], !ts[q-1].IsZero()
}

// ReadID identifies a barrier that ReadIndex began.
type ReadID uint64

// Read is a barrier that a quorum has confirmed: a state with Index applied holds all that was committed before.
type Read struct {
	ID    ReadID
	Index fleet.Index
}

type pendingRead struct {
	id    ReadID
	index fleet.Index
	round uint64
}

// ReadIndex begins a barrier; it comes out of Ready once a quorum has confirmed the leader after this call.
func (n *Node) ReadIndex(now time.Time) (ReadID, error) {
	n.setNow(now)
	if n.role != Leader || n.halted {
		return 0, &NotLeader{Leader: n.leader}
	}
	if len(n.reads) >= maxPendingReads {
		return 0, ErrBusy.New("%d barriers are waiting; try again later", len(n.reads))
	}
	n.readSeq++
	n.round++
	n.heartbeatDue = true
	n.reads = append(n.reads, pendingRead{n.readSeq, max(n.commit, n.termStart), n.round})
	return n.readSeq, nil
}

// maxPendingReads bounds the barriers that wait for a quorum.
const maxPendingReads = 4096

// confirmReads hands out the barriers whose round a quorum has answered.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 || n.commit < n.termStart {
		return
	}
	voters := n.members().Voters()
	k := 0
	for _, r := range n.reads {
		acks := 0
		for _, h := range voters {
			if p := n.peers[h]; h == n.set.Self || p != nil && p.ackRound >= r.round {
				acks++
			}
		}
		if acks < quorum(len(voters)) {
			break
		}
		n.readsDone = append(n.readsDone, Read{r.id, r.index})
		k++
	}
	n.reads = n.reads[k:]
}
