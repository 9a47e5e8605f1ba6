package raft

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

// Seed and number of runs of the model check, unless -rapid.seed and -rapid.checks give others.
const (
	modelSeed   = "20261204"
	modelChecks = "40"
)

// TestMain sets the defaults of the flags of rapid. For a longer run:
// go test ./core/raft -run TestModel -rapid.checks=2000 -rapid.seed=SEED -timeout=60m
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": modelSeed, "rapid.checks": modelChecks}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against two leaders in a term, diverging logs, lost or changed committed entries, leases that overlap a newer
// leader and stale read barriers, under message loss, reordering, duplication, one-way partitions, crashes before and
// after a sync, and disks lost one at a time.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.run(time.Second)
		host := func() *modelHost {
			if rapid.IntRange(0, 4).Draw(t, "any") == 0 {
				return rapid.SampledFrom(m.hosts).Draw(t, "host")
			}
			return m.host(rapid.SampledFrom(m.members).Draw(t, "member").Host)
		}
		drawCrashPoint := func() string { return rapid.SampledFrom([]string{"before-sync", "after-sync"}).Draw(t, "point") }
		run := func(*rapid.T) { m.run(time.Duration(rapid.IntRange(1, 160).Draw(t, "run")) * 5 * time.Millisecond) }
		propose := func(*rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "commands") {
				m.propose()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": run, "run2": run, "run3": run, "propose": propose, "propose2": propose,
			"network": func(*rapid.T) {
				m.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
				m.reorder = rapid.Bool().Draw(t, "reorder")
			},
			"cut":     func(*rapid.T) { m.cuts[[2]fleet.HostID{host().id, host().id}] = true },
			"isolate": func(*rapid.T) { m.isolate(host()) },
			"split":   func(*rapid.T) { m.split() },
			"heal":    func(*rapid.T) { clear(m.cuts) },
			"swap": func(*rapid.T) {
				m.swapQuorum(host(), host(), host(),
					rapid.SampledFrom([]string{"disk", "before-sync", "after-sync"}).Draw(t, "fault"))
			},
			"crash": func(*rapid.T) { host().crashPoint = drawCrashPoint() },
			"bounce": func(*rapid.T) {
				h := host()
				m.boot(h)
				m.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "run")) * 5 * time.Millisecond)
			},
			"power-cut": func(*rapid.T) {
				m.propose()
				for _, h := range m.hosts {
					h.crashPoint = drawCrashPoint()
				}
				m.run(time.Duration(rapid.IntRange(0, 4).Draw(t, "run")) * 5 * time.Millisecond)
				for _, h := range m.hosts {
					m.boot(h)
				}
			},
			"boot": func(*rapid.T) {
				for _, h := range m.hosts {
					if h.node == nil {
						m.boot(h)
					}
				}
			},
			"lose-disk": func(*rapid.T) { m.loseDisk(host()) },
			"repair":    func(*rapid.T) { m.operatorRequest(false) },
			"reconfigure": func(*rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					m.operatorRequest(true)
				}
			},
			"take-snapshot": func(*rapid.T) { m.compact(host()) },
			"":              func(*rapid.T) { m.check() },
		})
		m.verifyRecovery()
	})
}

// newLeader returns a leader of three voters whose log contains the given entries of earlier terms.
func newLeader(t testing.TB, es []Entry) *Node {
	return electLeader(t, Membership{{Host: "a", Storage: 1}, {Host: "b", Storage: 2}, {Host: "c", Storage: 3}}, es, "b")
}

// electLeader returns host a after the votes of other hosts made it leader of term 3.
func electLeader(t testing.TB, ms Membership, es []Entry, voters ...fleet.HostID) *Node {
	now := time.Unix(0, 0)
	n, err := New(Settings{Self: "a", Storage: 1}, PersistedState{
		Storage: 1, Snapshot: Snapshot{Index: 1, Term: 1, Members: ms}, State: HardState{Term: 2}, Entries: es,
	}, now)
	require.NoError(t, err)
	n.Tick(now.Add(time.Second))
	for _, k := range []MessageKind{MsgPreVoteReply, MsgVoteReply} {
		for _, h := range voters {
			m, _ := ms.Find(h)
			require.NoError(t, n.Step(now.Add(time.Second), Message{Kind: k, To: "a", From: h, Term: 3, Storage: m.Storage}))
		}
		for o, ok := n.Ready(); ok; o, ok = n.Ready() {
			n.Done(o)
		}
	}
	require.Equal(t, Leader, n.role)
	return n
}

// Guards against a leader that commits an entry of an earlier term because a quorum has a copy of it, although a later
// leader may still replace it.
func TestCommitOwnTermOnly(t *testing.T) {
	n := newLeader(t, []Entry{{Index: 2, Term: 2}})
	ack := func(i fleet.Index) {
		require.NoError(t, n.Step(n.now, Message{
			Kind: MsgAppendReply, To: "a", From: "b", Term: 3, Storage: 2, Index: i, Round: n.round,
		}))
	}
	ack(2)
	require.Equal(t, fleet.Index(1), n.commit)
	ack(3)
	require.Equal(t, fleet.Index(3), n.commit)
}

// Guards against a lease that is counted from the arrival of an answer instead of the sending of the heartbeat, ignores a
// clock that runs 1% slow, or relies on an answer from another data folder.
func TestLeaseBound(t *testing.T) {
	n := newLeader(t, nil)
	sent := n.now
	reply := Message{Kind: MsgAppendReply, To: "a", From: "b", Term: 3, Storage: 9, Index: 2, Sent: sent.Sub(n.epoch), Round: n.round}
	require.NoError(t, n.Step(sent.Add(50*time.Millisecond), reply))
	require.False(t, n.LeaseValid(n.now), "an answer from a replaced data folder counts for the lease")
	reply.Storage = 2
	require.NoError(t, n.Step(sent.Add(50*time.Millisecond), reply))
	bound := DefaultElectionMin * 99 / 100
	require.True(t, n.LeaseValid(sent.Add(bound-time.Millisecond)))
	require.False(t, n.LeaseValid(sent.Add(bound)))
}

// Guards against a lease that stays valid after MsgTimeoutNow was sent to another host, which may receive it late.
func TestTransferEndsLease(t *testing.T) {
	n := newLeader(t, nil)
	ack := Message{Kind: MsgAppendReply, To: "a", From: "b", Term: 3, Storage: 2, Index: 2, Sent: n.now.Sub(n.epoch), Round: n.round}
	require.NoError(t, n.Step(n.now, ack))
	require.True(t, n.LeaseValid(n.now))
	require.NoError(t, n.TransferLeadership(n.now, "b"))
	require.False(t, n.LeaseValid(n.now))
	n.Tick(n.now.Add(DefaultElectionMin))
	require.Equal(t, Follower, n.role, "a leader whose transfer was not completed stays leader without a lease")
}

// Guards against a voter that votes right after a restart although a leader's lease may depend on what it acknowledged
// before, and against one that votes with a new data folder.
func TestVoteAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration
		vote   Message
		grants bool
	}{
		"immediately after the restart": {0, Message{Expect: 1}, false},
		"after the election timeout":    {DefaultElectionMin, Message{Expect: 1}, true},
		"leadership transfer":           {0, Message{Expect: 1, Transfer: true}, true},
		"leader before the restart":     {0, Message{Expect: 1, Led: true}, true},
		"leader before, other folder":   {0, Message{Expect: 5, Led: true}, false},
		"other data folder":             {DefaultElectionMin, Message{Expect: 5}, false},
		"never admitted":                {DefaultElectionMin, Message{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(0, 0)
			n, err := New(Settings{Self: "a", Storage: 1, Voters: []fleet.HostID{"a", "b", "c"}},
				PersistedState{Storage: 1}, start)
			require.NoError(t, err)
			c.vote.Kind, c.vote.To, c.vote.From, c.vote.Term = MsgVote, "a", "b", 1
			require.NoError(t, n.Step(start.Add(c.after), c.vote))
			require.Equal(t, c.grants, n.state.Vote == "b")
		})
	}
}

// Guards against a voter that claims to have led the term before although it has not, or not in that term.
func TestLedIsKeptForItsTermOnly(t *testing.T) {
	n := newLeader(t, nil)
	require.True(t, n.state.Led)
	n.becomeFollower(n.state.Term, "")
	require.True(t, n.state.Led, "the term is the same")
	n.campaign()
	require.False(t, n.state.Led, "the next term has no leader yet")
	n = newLeader(t, nil)
	n.becomeFollower(n.state.Term+1, "b")
	require.False(t, n.state.Led, "another host leads the next term")
}

// Guards against a group in which no host can become leader. If only one host has the uncommitted entry of its own removal,
// it must lead without its own vote, as the others can't win an election against its longer log.
func TestRemovedHostLeadsUntilCommitted(t *testing.T) {
	ms := Membership{{Host: "a", Storage: 1}, {Host: "b", Storage: 2}, {Host: "c", Storage: 3}, {Host: "d", Storage: 4}}
	data, err := cbor.Marshal(ms.without("a"))
	require.NoError(t, err)
	n := electLeader(t, ms, []Entry{{Index: 2, Term: 2, Kind: EntryMembers, Data: data}}, "b", "c")
	for _, h := range []fleet.HostID{"b", "c"} {
		require.Equal(t, fleet.Index(1), n.commit, "the copy of the removed host counts for the quorum")
		m, _ := ms.Find(h)
		require.NoError(t, n.Step(n.now, Message{
			Kind: MsgAppendReply, To: "a", From: h, Term: 3, Storage: m.Storage, Index: 3, Round: n.round,
		}))
	}
	require.Equal(t, fleet.Index(3), n.commit)
	require.Equal(t, Follower, n.role, "it stays leader after its removal is committed")
	n.Tick(n.now.Add(time.Minute))
	require.Equal(t, Follower, n.role, "it starts an election after its removal is committed")
}

// Guards against a learner that starts an election because its log also contains the earlier membership in which it was a
// voter.
func TestLearnerStaysLearner(t *testing.T) {
	ms := Membership{{Host: "a", Storage: 1}, {Host: "b", Storage: 2}, {Host: "c", Storage: 3}}
	var es []Entry
	for i, next := range []Membership{ms.without("a"), ms.with(Member{Host: "a", Learner: true})} {
		data, err := cbor.Marshal(next)
		require.NoError(t, err)
		es = append(es, Entry{Index: fleet.Index(2 + i), Term: 1, Kind: EntryMembers, Data: data})
	}
	n, err := New(Settings{Self: "a", Storage: 1}, PersistedState{
		Storage: 1, Snapshot: Snapshot{Index: 1, Term: 1, Members: ms}, Entries: es,
	}, time.Unix(0, 0))
	require.NoError(t, err)
	n.Tick(time.Unix(60, 0))
	require.Equal(t, Follower, n.role)
}

// Guards against a message from a faulty or newer host that makes this one panic or damages its log.
func FuzzStep(f *testing.F) {
	for _, m := range []Message{
		{Kind: MsgAppend, Term: 4, Index: 3, LogTerm: 3, Entries: []Entry{{Index: 4, Term: 4, Kind: EntryMembers, Data: []byte{0x80}}}},
		{Kind: MsgAppend, Term: 4, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 4}}, Commit: 9},
		{Kind: MsgSnapshot, Term: 4, Index: 9, LogTerm: 3, Chunk: &Chunk{Total: 3, Data: []byte("abc")}},
		{Kind: MsgAppendReply, Term: 3, Storage: 2, Index: 3, Reject: true, Hint: 9, HintTerm: 9},
		{Kind: MsgVote, Term: 9, Expect: 1, Transfer: true, Index: 9, LogTerm: 9},
		{Kind: MsgHello, Storage: 9}, {Kind: MsgTimeoutNow, Term: 3}, {Kind: MsgSnapshotReply, Term: 3, Storage: 2},
	} {
		b, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		n := newLeader(t, []Entry{{Index: 2, Term: 2}})
		m.To, m.From = "a", "b"
		for range 2 {
			_ = n.Step(n.now, m)
			n.Tick(n.now.Add(time.Second))
			for o, ok := n.Ready(); ok; o, ok = n.Ready() {
				n.Done(o)
			}
			require.LessOrEqual(t, n.commit, n.log.last())
			for i, e := range n.log.entries {
				require.Equal(t, n.log.offset+1+fleet.Index(i), e.Index)
			}
		}
	})
}

// Guards against a host that came back with an empty disk and votes before the others have accepted its new StorageID: such
// a vote can elect a candidate that lacks a committed change.
func TestHostWithoutMembershipHasNoVote(t *testing.T) {
	now := time.Unix(1000, 0)
	n, err := New(Settings{Self: "a", Storage: 4, Seed: 1}, PersistedState{Storage: 4}, now)
	require.NoError(t, err)
	require.False(t, n.state.Admitted)
	require.NoError(t, n.Step(now.Add(5*time.Second), Message{Kind: MsgVote, To: "a", From: "b", Term: 2, Storage: 2, Admitted: true}))
	o, _ := n.Ready()
	for _, m := range append(o.Send, o.SendAfterSave...) {
		require.False(t, m.Admitted, "%+v", m)
	}
}
