package voters

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/disk"
)

// Group is this host's member of one raft group. Its methods are safe for concurrent use.
type Group struct {
	cfg     Settings
	storage raft.StorageID
	wake    chan struct{}

	counters counters

	// applyMu guards the state machine.
	applyMu sync.Mutex

	mu    sync.Mutex
	node  *raft.Node
	inbox []raft.Message
	// inboxBytes is the size of the entries and chunks in inbox.
	inboxBytes fleet.Bytes
	running    bool
	failed     error
	applied    fleet.Index
	// appliedBytes is the size of the entries that were applied since the last snapshot.
	appliedBytes fleet.Bytes
	// snapshotSize is the size of the last snapshot's data.
	snapshotSize fleet.Bytes
	// appliedChanged is closed and replaced when the applied index grows, statusChanged after any work of the loop. They are
	// separate so that a heartbeat doesn't wake every long poll.
	appliedChanged, statusChanged chan struct{}
	notifiedApplied               fleet.Index
	waiters                       map[fleet.Index]waiter
	reads                         map[raft.ReadID]chan fleet.Index
	lastStatus                    raft.Status
}

// waiter is a Propose call that waits for its entry.
type waiter struct {
	term raft.Term
	done chan outcome
}

// outcome is the result of a Propose call.
type outcome struct {
	result []byte
	err    error
}

func errorAs[T error](err error) (T, bool) {
	var t T
	ok := errors.As(err, &t)
	return t, ok
}

// Bounds of the inbox; above them new messages are dropped, and raft sends them again.
const (
	maxInbox      = 8192
	maxInboxBytes = 8 * fleet.MiB
)

// Open loads the stored state and restores the state machine; Run has to be called next.
func Open(cfg Settings) (*Group, error) {
	cfg.setDefaults()
	if cfg.Transport == nil || cfg.Machine == nil {
		return nil, ErrSettings.New("a group needs a transport and a state machine; set both")
	}
	if cfg.Storage == nil {
		cfg.Storage = disk.NewMemory(1)
	}
	saved, err := cfg.Storage.Load()
	if err != nil {
		return nil, err
	}
	cfg.Raft.Storage = saved.Storage
	cfg.Raft.Seed = cmp.Or(cfg.Raft.Seed, xxhash.Sum64String(string(cfg.Raft.Self)))
	cfg.Log = cfg.Log.With(zap.Uint32("group", uint32(cfg.Group)))
	node, err := raft.New(cfg.Raft, saved, cfg.Now())
	if err != nil {
		return nil, err
	}
	if saved.Snapshot.Index > 0 {
		if err := cfg.Machine.Restore(saved.Snapshot.Index, saved.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	return &Group{
		cfg: cfg, storage: saved.Storage, node: node, applied: saved.Snapshot.Index,
		wake: make(chan struct{}, 1), statusChanged: make(chan struct{}), appliedChanged: make(chan struct{}),
		notifiedApplied: saved.Snapshot.Index, snapshotSize: fleet.Bytes(len(saved.Snapshot.Data)),
		waiters: map[fleet.Index]waiter{}, reads: map[raft.ReadID]chan fleet.Index{},
	}, nil
}

// wakeLoop wakes the loop of Run; it doesn't block.
func (g *Group) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Receive queues messages of another member for the loop. Messages that name another sender or exceed the bounds of the inbox are
// dropped and counted.
func (g *Group) Receive(from fleet.HostID, msgs []raft.Message) {
	g.mu.Lock()
	for _, m := range msgs {
		if m.From == from && len(g.inbox) < maxInbox && g.inboxBytes < maxInboxBytes {
			g.inbox = append(g.inbox, m)
			g.inboxBytes += messageSize(&m)
		} else {
			g.counters.dropped.Add(1)
		}
	}
	g.mu.Unlock()
	g.wakeLoop()
}

// Propose appends a command to the log and returns its index and the state machine's result once it is applied. An error of
// type *NotLeader names the leader. MayCommit reports for any error whether the entry may still be committed.
func (g *Group) Propose(ctx context.Context, data []byte) (fleet.Index, []byte, error) {
	g.mu.Lock()
	if err := g.checkRunning(); err != nil {
		g.mu.Unlock()
		return 0, nil, err
	}
	i, term, err := g.node.Propose(g.cfg.Now(), data)
	if err != nil {
		g.mu.Unlock()
		return 0, nil, err
	}
	done := make(chan outcome, 1)
	g.waiters[i] = waiter{term, done}
	g.mu.Unlock()
	g.wakeLoop()
	select {
	case o := <-done:
		return i, o.result, o.err
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		if w, ok := g.waiters[i]; ok && w.done == done {
			delete(g.waiters, i)
		}
		return i, nil, &Uncertain{MayCommit: true, Cause: ctx.Err()}
	}
}

// checkRunning returns an error if the group accepts no requests; g.mu must be held.
func (g *Group) checkRunning() error {
	if g.failed != nil {
		return g.failed
	}
	if !g.running {
		return ErrStopped.New("the group is not running on this host; send the request to another host")
	}
	return nil
}

// Status is the state of the group as known to this host.
type Status struct {
	raft.Status
	Applied  fleet.Index
	Voters   []fleet.HostID
	Learners []fleet.HostID
	// Failed is the error of the storage or the state machine after which this host stopped taking part in the group.
	Failed error
}

// Status returns the state of the group as known to this host.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.node.Status()
	return Status{Status: s, Applied: g.applied, Voters: s.Members.Voters(), Learners: s.Members.Learners(), Failed: g.failed}
}

// LeaseValid reports whether this host is the leader and no other host can be leader at the given time.
func (g *Group) LeaseValid(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running && g.node.LeaseValid(now)
}

// Lease returns the term in which this host leads, and whether its state machine has applied all that any host may have applied, which is
// not the case while the host saves an entry that other hosts know to be committed. It returns false unless the lease is valid now.
func (g *Group) Lease() (term raft.Term, upToDate, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running || !g.node.LeaseValid(g.cfg.Now()) {
		return 0, false, false
	}
	s := g.node.Status()
	return s.Term, g.applied >= s.Commit, true
}

// Leading reports whether this host is the leader and no other host can be leader now.
func (g *Group) Leading() bool { return g.LeaseValid(g.cfg.Now()) }

// SilentMembers returns the members from which this host, as leader, has received no answer for at least d.
func (g *Group) SilentMembers(d time.Duration) []fleet.HostID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.SilentMembers(g.cfg.Now(), d)
}

// Storage returns the id of this host's data folder.
func (g *Group) Storage() raft.StorageID { return g.storage }

// Barrier returns once this host is confirmed as leader and has applied all that was committed before the call.
func (g *Group) Barrier(ctx context.Context) error {
	g.mu.Lock()
	if err := g.checkRunning(); err != nil {
		g.mu.Unlock()
		return err
	}
	id, err := g.node.ReadIndex(g.cfg.Now())
	if err != nil {
		g.mu.Unlock()
		return err
	}
	done := make(chan fleet.Index, 1)
	g.reads[id] = done
	g.mu.Unlock()
	g.wakeLoop()
	select {
	case i, ok := <-done:
		if !ok {
			return &NotLeader{Leader: g.Status().Leader}
		}
		return g.WaitApplied(ctx, i-1)
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.reads, id)
		return ctx.Err()
	}
}

// WaitApplied returns once an entry after the given index is applied.
func (g *Group) WaitApplied(ctx context.Context, after fleet.Index) error {
	return g.wait(ctx, &g.appliedChanged, func() (bool, error) { return g.applied > after, nil })
}

// WaitChanged returns once the role, leader, term, members or Refused differ from those of s.
func (g *Group) WaitChanged(ctx context.Context, s Status) error {
	return g.wait(ctx, &g.statusChanged, func() (bool, error) { return statusDiffers(s.Status, g.node.Status()), nil })
}

func statusDiffers(a, b raft.Status) bool {
	return a.Role != b.Role || a.Leader != b.Leader || a.Term != b.Term || a.Refused != b.Refused ||
		!slices.Equal(a.Members, b.Members)
}

// wait calls ready with g.mu held, and again each time the channel is closed, until ready returns true or an error or the
// group has failed.
func (g *Group) wait(ctx context.Context, signal *chan struct{}, ready func() (bool, error)) error {
	for {
		g.mu.Lock()
		ok, err := ready()
		ch := *signal
		if g.failed != nil {
			err = errors.Join(err, g.failed)
		}
		g.mu.Unlock()
		if ok || err != nil {
			return err
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// EntriesAfter returns applied entries after an index: at least one if there is any, and more while they fit into maxBytes.
// It returns false if they are no longer kept, so that Snapshot has to be used.
func (g *Group) EntriesAfter(index fleet.Index, maxBytes fleet.Bytes) ([]raft.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.EntriesAfter(index, g.applied, maxBytes)
}

// Snapshot returns an encoded state of the state machine and its index, for a follower for which EntriesAfter has no
// entries; the follower continues with EntriesAfter from that index. The bytes must not be changed. Snapshot returns the
// last saved snapshot if there is one, so that many followers at once don't cause any encoding.
func (g *Group) Snapshot() (fleet.Index, []byte, error) {
	g.mu.Lock()
	s := g.node.LastSnapshot()
	g.mu.Unlock()
	if s.Index > 0 {
		return s.Index, s.Data, nil
	}
	return g.encodeState()
}

// encodeState returns the current state of the state machine and its index.
func (g *Group) encodeState() (fleet.Index, []byte, error) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	data, err := g.cfg.Machine.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applied, data, err
}

// View runs f while the state machine does not change; f must call neither View nor Snapshot.
func (g *Group) View(f func()) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	f()
}
