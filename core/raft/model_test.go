package raft

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

// modelHost is one host with its disk, clock and state machine.
type modelHost struct {
	id   fleet.HostID
	node *Node // nil while crashed
	disk PersistedState
	// clockError is the relative error of the clock, at most half of fleet.MaxClockDrift in either direction.
	clockError float64
	applied    fleet.Index
	hash       uint64
	// crashPoint is the point of the next save at which the host crashes, if not empty.
	crashPoint string
}

// model is a group of hosts on a lossy network, with the record of past states that the checks need.
type model struct {
	t           *rapid.T
	rng         *rand.Rand
	now         time.Duration
	voters      []fleet.HostID
	hosts       []*modelHost
	inFlight    []Message
	cuts        map[[2]fleet.HostID]bool
	loss        float64
	reorder     bool
	electionMax time.Duration
	// deliveryRounds is how many times messages in flight are delivered within one time step, so that replies to replies
	// can arrive within the step as well.
	deliveryRounds int
	nextID         StorageID
	nextCmd        uint64

	leaders      map[Term]fleet.HostID
	entries      map[[2]uint64][2]uint64 // index and term of an entry: its hash and the term before it
	committed    []Entry
	membersAfter []Membership // membership after each committed entry
	hashAfter    []uint64     // state machine's hash after each committed entry
	members      Membership
	lostDisk     fleet.HostID
	reads        map[fleet.HostID]map[ReadID]fleet.Index
}

func newModel(t *rapid.T) *model {
	m := &model{
		deliveryRounds: rapid.SampledFrom([]int{1, 8}).Draw(t, "hops"),
		t:              t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), cuts: map[[2]fleet.HostID]bool{},
		leaders: map[Term]fleet.HostID{}, entries: map[[2]uint64][2]uint64{},
		hashAfter: []uint64{0}, membersAfter: []Membership{nil}, committed: make([]Entry, 1),
		reads: map[fleet.HostID]map[ReadID]fleet.Index{},
	}
	ids := []fleet.HostID{"a", "b", "c", "d", "e", "f"}
	m.voters = ids[:rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters")]
	m.electionMax = rapid.SampledFrom([]time.Duration{DefaultElectionMax, DefaultElectionMin + 10*time.Millisecond}).Draw(t, "election")
	for _, h := range m.voters {
		m.members = m.members.with(Member{Host: h})
	}
	for _, id := range ids {
		h := &modelHost{id: id, clockError: (m.rng.Float64() - 0.5) * fleet.MaxClockDrift}
		m.hosts = append(m.hosts, h)
		m.wipe(h)
		m.boot(h)
	}
	return m
}

// clock returns the time on the host's own clock.
func (m *model) clock(h *modelHost) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(m.now) * (1 + h.clockError)))
}

func (m *model) wipe(h *modelHost) {
	m.nextID++
	h.disk = PersistedState{Storage: m.nextID}
}

func (m *model) boot(h *modelHost) {
	saved := h.disk
	saved.Entries = slices.Clone(saved.Entries)
	set := Settings{
		Self: h.id, Storage: saved.Storage, Seed: m.rng.Uint64(), ElectionMax: m.electionMax,
		ChunkSize: 9, MaxBatch: 200, MaxInflight: 4,
	}
	if slices.Contains(m.voters, h.id) {
		set.Voters = m.voters
	}
	n, err := New(set, saved, m.clock(h))
	require.NoError(m.t, err)
	h.node, h.applied, h.hash, h.crashPoint = n, saved.Snapshot.Index, 0, ""
	m.reads[h.id] = map[ReadID]fleet.Index{}
	if len(saved.Snapshot.Data) > 0 {
		h.hash = binary.BigEndian.Uint64(saved.Snapshot.Data)
	}
}

func (m *model) send(msgs []Message) {
	for _, msg := range msgs {
		if m.cuts[[2]fleet.HostID{msg.From, msg.To}] || m.rng.Float64() < m.loss {
			continue
		}
		m.inFlight = append(m.inFlight, msg)
		if m.rng.Float64() < m.loss/4 {
			m.inFlight = append(m.inFlight, msg)
		}
	}
}

// deliver encodes one message, decodes it again and passes it to its receiver.
func (m *model) deliver(msg Message) {
	for _, h := range m.hosts {
		if h.id != msg.To || h.node == nil {
			continue
		}
		b, err := cbor.Marshal(msg)
		require.NoError(m.t, err)
		var got Message
		require.NoError(m.t, cbor.Unmarshal(b, &got))
		require.NoError(m.t, h.node.Step(m.clock(h), got))
		m.runReady(h)
	}
}

// runReady carries out a host's outputs; at the host's crash point it stops the node, which loses what is in memory.
func (m *model) runReady(h *modelHost) {
	for {
		o, ok := h.node.Ready()
		if !ok {
			return
		}
		m.send(o.Send)
		saves := o.State != nil || o.Snapshot != nil || len(o.Entries) > 0
		if saves && h.crashPoint == "before-sync" {
			h.node = nil
			return
		}
		m.save(h, &o)
		if saves && h.crashPoint == "after-sync" {
			h.node = nil
			return
		}
		m.send(o.SendAfterSave)
		m.apply(h, &o)
		h.node.Done(o)
		m.check()
	}
}

func (m *model) save(h *modelHost, o *Output) {
	d := &h.disk
	if o.State != nil {
		d.State = *o.State
	}
	if o.Snapshot != nil {
		d.Snapshot, d.Entries = *o.Snapshot, nil
	}
	for _, e := range o.Entries {
		d.Entries = append(slices.DeleteFunc(d.Entries, func(x Entry) bool { return x.Index >= e.Index }), e)
		prev, _ := h.node.log.term(e.Index - 1)
		key, val := [2]uint64{uint64(e.Index), uint64(e.Term)}, [2]uint64{xxhash.Sum64(e.Data), uint64(prev)}
		if old, ok := m.entries[key]; ok {
			require.Equal(m.t, old, val, "log matching: entry %d of term %d", e.Index, e.Term)
		}
		m.entries[key] = val
	}
}

func (m *model) apply(h *modelHost, o *Output) {
	if s := o.Snapshot; s != nil {
		require.Less(m.t, int(s.Index), len(m.committed), "snapshot of entries that nobody committed")
		h.applied, h.hash = s.Index, binary.BigEndian.Uint64(s.Data)
		require.Equal(m.t, m.hashAfter[s.Index], h.hash, "state of the snapshot at %d", s.Index)
	}
	for _, e := range o.Committed {
		require.Equal(m.t, h.applied+1, e.Index, "order of application on %s", h.id)
		h.applied = e.Index
		h.hash = xxhash.Sum64(binary.BigEndian.AppendUint64(slices.Clone(e.Data), h.hash))
		if int(e.Index) < len(m.committed) {
			require.Equal(m.t, m.committed[e.Index], e, "committed entry on %s", h.id)
			continue
		}
		m.committed, m.hashAfter = append(m.committed, e), append(m.hashAfter, h.hash)
		if e.Kind == EntryMembers {
			m.members = nil
			require.NoError(m.t, cbor.Unmarshal(e.Data, &m.members))
		}
		m.membersAfter = append(m.membersAfter, m.members)
	}
	for _, r := range o.Reads {
		require.GreaterOrEqual(m.t, r.Index, m.reads[h.id][r.ID], "barrier on %s", h.id)
	}
	if l := m.host(m.lostDisk); l != nil {
		mem, ok := m.members.Find(l.id)
		if !ok || !mem.Learner && mem.Storage == l.disk.Storage {
			m.lostDisk = ""
		}
	}
}

func (m *model) host(id fleet.HostID) *modelHost {
	for _, h := range m.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// check verifies the invariants that hold between any two steps.
func (m *model) check() {
	for _, h := range m.hosts {
		if h.node == nil || h.node.role != Leader {
			continue
		}
		n := h.node
		if l, ok := m.leaders[n.state.Term]; ok {
			require.Equal(m.t, l, h.id, "second leader of term %d", n.state.Term)
		} else {
			m.leaders[n.state.Term] = h.id
			// Leader completeness: the leader's log contains every committed entry.
			require.GreaterOrEqual(m.t, int(n.log.last()), len(m.committed)-1, "leader of term %d lacks entries", n.state.Term)
			for i := n.log.offset + 1; int(i) < len(m.committed); i++ {
				term, _ := n.log.term(i)
				require.Equal(m.t, m.committed[i].Term, term, "leader's entry %d", i)
			}
		}
		if n.LeaseValid(m.clock(h)) {
			for t := range m.leaders {
				require.LessOrEqual(m.t, t, n.state.Term, "%s holds a lease although a newer leader exists", h.id)
			}
			if last := len(m.committed) - 1; last > int(n.commit) {
				require.Equal(m.t, n.state.Term, m.committed[n.commit+1].Term, "%s holds a lease without earlier leaders' entries", h.id)
			}
		}
	}
}

// run advances the time by d in steps of 5 ms.
func (m *model) run(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += 5 * time.Millisecond {
		for _, h := range m.hosts {
			if h.node != nil && !m.clock(h).Before(h.node.NextTick()) {
				h.node.Tick(m.clock(h))
				m.runReady(h)
			}
			if h.node != nil && m.rng.IntN(20) == 0 {
				m.startRead(h)
				m.runReady(h)
			}
		}
		for range m.deliveryRounds {
			m.deliverPending()
		}
		m.check()
	}
}

// deliverPending delivers the messages in flight; with reorder set, in random order and not all of them.
func (m *model) deliverPending() {
	for k := len(m.inFlight); k > 0 && len(m.inFlight) > 0; k-- {
		i := 0
		if m.reorder {
			i = m.rng.IntN(len(m.inFlight))
			if m.rng.IntN(3) == 0 {
				continue
			}
		}
		msg := m.inFlight[i]
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
		m.deliver(msg)
	}
}

// leader returns the leader of the newest term, or nil.
func (m *model) leader() *modelHost {
	var best *modelHost
	for _, h := range m.hosts {
		if h.node != nil && h.node.role == Leader && (best == nil || h.node.state.Term > best.node.state.Term) {
			best = h
		}
	}
	return best
}

// propose proposes a command to every host; those that aren't leader refuse it.
func (m *model) propose() {
	for _, h := range m.hosts {
		m.nextCmd++
		if h.node != nil {
			_, _, _ = h.node.Propose(m.clock(h), binary.BigEndian.AppendUint64(nil, m.nextCmd))
		}
	}
}

func (m *model) startRead(h *modelHost) {
	if id, err := h.node.ReadIndex(m.clock(h)); err == nil {
		m.reads[h.id][id] = fleet.Index(len(m.committed) - 1)
	}
}

// isolate cuts all links from and to a host.
func (m *model) isolate(h *modelHost) {
	for _, o := range m.hosts {
		m.cuts[[2]fleet.HostID{h.id, o.id}] = true
		m.cuts[[2]fleet.HostID{o.id, h.id}] = true
	}
}

// split partitions the hosts into two sides and carries out operator requests on both.
func (m *model) split() {
	side := m.rng.Uint64()
	for i, h := range m.hosts {
		for j, o := range m.hosts {
			m.cuts[[2]fleet.HostID{h.id, o.id}] = (side>>i)&1 != (side>>j)&1
		}
	}
	for range m.rng.IntN(20) {
		m.operatorRequest(true)
	}
	for range m.rng.IntN(20) {
		m.run(100 * time.Millisecond)
		m.operatorRequest(true)
		m.propose()
	}
}

// swapQuorum isolates x while the others commit, injects a fault into y, and then isolates z in place of x. The committed
// entries must survive, or nothing more may be committed.
func (m *model) swapQuorum(x, y, z *modelHost, fault string) {
	m.isolate(x)
	m.propose()
	m.run(time.Duration(m.rng.IntN(1500)) * time.Millisecond)
	m.propose()
	if fault == "disk" {
		m.loseDisk(y)
	} else {
		y.crashPoint = fault
	}
	m.run(time.Duration(m.rng.IntN(4)) * 5 * time.Millisecond)
	clear(m.cuts)
	m.isolate(z)
	if y.node == nil {
		m.boot(y)
	}
	m.run(time.Duration(m.rng.IntN(2500)) * time.Millisecond)
	m.propose()
	m.run(time.Duration(m.rng.IntN(1000)) * time.Millisecond)
	clear(m.cuts)
}

// loseDisk empties one host's disk, unless another loss is not repaired yet or the group has fewer than three voters.
func (m *model) loseDisk(h *modelHost) {
	for _, o := range m.hosts {
		if o.node != nil && len(o.node.members()) > 0 && len(o.node.members().Voters()) < 3 {
			return
		}
	}
	if m.lostDisk != "" || len(m.members.Voters()) < 3 {
		return
	}
	if _, ok := m.members.Find(h.id); ok {
		m.lostDisk = h.id
	}
	m.wipe(h)
	m.boot(h)
}

// operatorRequest carries out one operator request. If random is not set, the request goes to the leader and preferably
// repairs a lost disk or promotes a learner.
func (m *model) operatorRequest(random bool) {
	l := m.leader()
	if random {
		// A partitioned old leader receives requests as well.
		l = m.hosts[m.rng.IntN(len(m.hosts))]
	}
	if l == nil || l.node == nil {
		return
	}
	n, now := l.node, m.clock(l)
	h := m.hosts[m.rng.IntN(len(m.hosts))].id
	for _, mem := range n.members() {
		if random {
			break
		}
		if mem.Learner || mem.Host == m.lostDisk {
			h = mem.Host
		}
	}
	mem, ok := n.members().Find(h)
	// A request may be refused in the current state; the operator's next request then retries.
	switch {
	case !ok:
		_, _ = n.AddLearner(now, h)
	case mem.Learner:
		_, _ = n.Promote(now, h)
	case h == m.lostDisk || random && len(n.members().Voters()) > 3 && m.rng.IntN(3) == 0:
		_, _ = n.Remove(now, h)
	case random:
		_ = n.TransferLeadership(now, h)
	}
	m.runReady(l)
}

func (m *model) compact(h *modelHost) {
	if h.node == nil {
		return
	}
	s, ok := h.node.SnapshotAt(h.applied)
	if !ok || s.Index <= h.disk.Snapshot.Index {
		return
	}
	require.Equal(m.t, m.membersAfter[s.Index], s.Members, "members of the snapshot at %d on %s", s.Index, h.id)
	s.Data = append(binary.BigEndian.AppendUint64(nil, h.hash), make([]byte, 20)...)
	h.disk.Snapshot = s
	h.disk.Entries = slices.DeleteFunc(h.disk.Entries, func(e Entry) bool { return e.Index <= s.Index })
	h.node.Compact(s, s.Index-min(s.Index, fleet.Index(m.rng.IntN(4))))
}

// verifyRecovery ends all faults, repairs the lost disk and requires that the group commits again and that all members agree.
func (m *model) verifyRecovery() {
	m.cuts, m.loss, m.reorder = map[[2]fleet.HostID]bool{}, 0, false
	for _, h := range m.hosts {
		h.crashPoint = ""
	}
	for range 300 {
		for _, h := range m.hosts {
			if h.node == nil {
				m.boot(h)
			}
		}
		m.run(100 * time.Millisecond)
		if m.lostDisk != "" {
			m.operatorRequest(false)
		}
	}
	require.Empty(m.t, m.lostDisk, "the lost disk was not repaired within 30 s")
	l := m.leader()
	require.NotNil(m.t, l, "no leader 30 s after the last fault")
	before := len(m.committed)
	m.propose()
	m.runReady(l)
	m.run(time.Second)
	require.Greater(m.t, len(m.committed), before, "the group commits nothing after the last fault")
	for _, mem := range m.members {
		h := m.host(mem.Host)
		require.Equal(m.t, l.hash, h.hash, "state of %s: %+v", mem.Host, h.node.Status())
	}
}
