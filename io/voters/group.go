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

// Group is this host's part in one raft group. Its methods may be called by any goroutine.
type Group struct {
	set     Settings
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
	// appliedBytes counts what was applied since the last snapshot.
	appliedBytes fleet.Bytes
	// snapshotSize is the size of the last snapshot's data.
	snapshotSize fleet.Bytes
	// advanced is closed and replaced when the applied index grows, changed after all other work too. They are apart
	// so that a heartbeat doesn't wake every long poll.
	advanced, changed chan struct{}
	told              fleet.Index
	waiters           map[fleet.Index]waiter
	reads             map[raft.ReadID]chan fleet.Index
	seen              raft.Status
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

// Bounds of the messages that wait for the loop; above them new ones are dropped, and raft sends them again.
const (
	maxInbox      = 8192
	maxInboxBytes = 8 * fleet.MiB
)

// Open loads the storage and restores the state machine; Run has to be called next.
func Open(set Settings) (*Group, error) {
	set.setDefaults()
	if set.Transport == nil || set.Machine == nil {
		return nil, ErrSettings.New("a group needs a transport and a state machine; set both")
	}
	if set.Storage == nil {
		set.Storage = disk.NewMemory(1)
	}
	saved, err := set.Storage.Load()
	if err != nil {
		return nil, err
	}
	set.Raft.Storage = saved.Storage
	set.Raft.Seed = cmp.Or(set.Raft.Seed, xxhash.Sum64String(string(set.Raft.Self)))
	set.Log = set.Log.With(zap.Uint32("group", uint32(set.Group)))
	node, err := raft.New(set.Raft, saved, set.Now())
	if err != nil {
		return nil, err
	}
	if saved.Snapshot.Index > 0 {
		if err := set.Machine.Restore(saved.Snapshot.Index, saved.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	return &Group{
		set: set, storage: saved.Storage, node: node, applied: saved.Snapshot.Index,
		wake: make(chan struct{}, 1), changed: make(chan struct{}), advanced: make(chan struct{}),
		told: saved.Snapshot.Index, snapshotSize: fleet.Bytes(len(saved.Snapshot.Data)),
		waiters: map[fleet.Index]waiter{}, reads: map[raft.ReadID]chan fleet.Index{},
	}, nil
}

// notify makes the loop look for work.
func (g *Group) notify() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Receive takes in messages of another member.
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
	g.notify()
}

// Propose appends a command to the log and returns its index and what the state machine returned for it. An error of
// type *NotLeader names the leader. Other errors say by MayCommit whether the entry may still be committed.
func (g *Group) Propose(ctx context.Context, data []byte) (fleet.Index, []byte, error) {
	g.mu.Lock()
	if err := g.usable(); err != nil {
		g.mu.Unlock()
		return 0, nil, err
	}
	i, term, err := g.node.Propose(g.set.Now(), data)
	if err != nil {
		g.mu.Unlock()
		return 0, nil, err
	}
	done := make(chan outcome, 1)
	g.waiters[i] = waiter{term, done}
	g.mu.Unlock()
	g.notify()
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

// usable returns why the group takes no requests, if it doesn't; g.mu is held.
func (g *Group) usable() error {
	if g.failed != nil {
		return g.failed
	}
	if !g.running {
		return ErrStopped.New("the group is not running on this host; ask another one")
	}
	return nil
}

// Status describes the group as this host sees it.
type Status struct {
	raft.Status
	Applied  fleet.Index
	Voters   []fleet.HostID
	Learners []fleet.HostID
	// Failed is the error of the storage or the state machine that stopped this host's part in the group.
	Failed error
}

// Status returns the group's state as this host sees it.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.node.Status()
	return Status{Status: s, Applied: g.applied, Voters: s.Members.Voters(), Learners: s.Members.Learners(), Failed: g.failed}
}

// LeaseValid says whether this host is the leader and no other host can be, at the given time.
func (g *Group) LeaseValid(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running && g.node.LeaseValid(now)
}

// Leading says whether this host is the leader and no other host can be, at present.
func (g *Group) Leading() bool { return g.LeaseValid(g.set.Now()) }

// SilentMembers returns the members from which this host, as leader, has heard nothing for a time.
func (g *Group) SilentMembers(d time.Duration) []fleet.HostID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.SilentMembers(g.set.Now(), d)
}

// Storage returns the id of this host's data folder.
func (g *Group) Storage() raft.StorageID { return g.storage }

// Barrier returns once this host is confirmed as leader and has applied all that was committed before the call.
func (g *Group) Barrier(ctx context.Context) error {
	g.mu.Lock()
	if err := g.usable(); err != nil {
		g.mu.Unlock()
		return err
	}
	id, err := g.node.ReadIndex(g.set.Now())
	if err != nil {
		g.mu.Unlock()
		return err
	}
	done := make(chan fleet.Index, 1)
	g.reads[id] = done
	g.mu.Unlock()
	g.notify()
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
	return g.wait(ctx, &g.advanced, func() (bool, error) { return g.applied > after, nil })
}

// WaitChanged returns once the role, leader, term or members differ from those of s, for callers that act on them.
func (g *Group) WaitChanged(ctx context.Context, s Status) error {
	return g.wait(ctx, &g.changed, func() (bool, error) { return differs(s.Status, g.node.Status()), nil })
}

func differs(a, b raft.Status) bool {
	return a.Role != b.Role || a.Leader != b.Leader || a.Term != b.Term || a.Refused != b.Refused ||
		!slices.Equal(a.Members, b.Members)
}

// wait calls ready under g.mu, and again each time that the channel is closed, until it returns true or an error.
func (g *Group) wait(ctx context.Context, on *chan struct{}, ready func() (bool, error)) error {
	for {
		g.mu.Lock()
		ok, err := ready()
		ch := *on
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

// EntriesAfter returns applied entries after an index, at least one if there is any and more while they fit into
// maxBytes; false means that they are no longer kept, so that Snapshot has to be used.
func (g *Group) EntriesAfter(index fleet.Index, maxBytes fleet.Bytes) ([]raft.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.EntriesAfter(index, g.applied, maxBytes)
}

// Snapshot returns an encoded state of the state machine and the index that it stands at, for a follower for which
// EntriesAfter has no entries; it goes on with EntriesAfter from that index. The bytes must not be changed. It is the
// last saved one if there is any, so that many followers at once cost no encoding.
func (g *Group) Snapshot() (fleet.Index, []byte, error) {
	g.mu.Lock()
	s := g.node.LastSnapshot()
	g.mu.Unlock()
	if s.Index > 0 {
		return s.Index, s.Data, nil
	}
	return g.encode()
}

// encode returns the present state.
func (g *Group) encode() (fleet.Index, []byte, error) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	data, err := g.set.Machine.Snapshot()
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
