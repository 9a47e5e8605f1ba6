package voters

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

// Log messages of state changes.
const (
	logRole     = "raft role changed"
	logLeader   = "raft leader changed"
	logRefused  = "raft group knows this host under another data folder; it asks the leader to be replaced"
	logFailed   = "raft storage or state machine failed; this host no longer votes"
	logRejected = "raft message rejected"
	logSnapshot = "raft snapshot taken"
)

// Run runs this host's member of the group until ctx ends, then closes the storage. A failed storage doesn't end it: the
// host stops voting and acknowledging, and Status names the error.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	senders := &senders{g: g, ctx: ctx, eg: eg, queues: map[fleet.HostID]*queue{}}
	g.mu.Lock()
	g.running = true
	g.mu.Unlock()
	eg.Go(func() error {
		g.loop(ctx, senders)
		return nil
	})
	err := eg.Wait()
	g.mu.Lock()
	g.running = false
	g.failWaiters(ErrStopped.New("the group was stopped on this host"))
	g.mu.Unlock()
	if cerr := g.cfg.Storage.Close(); err == nil {
		err = cerr
	}
	return err
}

// failWaiters ends all waiting calls: proposals with an unknown outcome, barriers with NotLeader; g.mu must be held.
func (g *Group) failWaiters(cause error) {
	for i, w := range g.waiters {
		w.done <- outcome{err: &Uncertain{MayCommit: true, Cause: cause}}
		delete(g.waiters, i)
	}
	for id, ch := range g.reads {
		close(ch)
		delete(g.reads, id)
	}
}

func (g *Group) loop(ctx context.Context, s *senders) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.wake:
		}
		g.mu.Lock()
		now := g.cfg.Now()
		inbox := g.inbox
		g.inbox, g.inboxBytes = nil, 0
		for _, m := range inbox {
			if err := g.node.Step(now, m); err != nil {
				g.counters.rejected.Add(1)
				g.cfg.Log.Warn(logRejected, zap.String("from", string(m.From)), zap.Error(err))
			}
		}
		if !now.Before(g.node.NextTick()) {
			g.node.Tick(now)
		}
		g.mu.Unlock()
		if g.processReady(ctx, s) {
			// Only one output is processed per iteration. Otherwise a stream of proposals would delay the processing of
			// messages and timers, and with it answers and heartbeats.
			g.wakeLoop()
		}
		g.mu.Lock()
		timer.Reset(max(g.node.NextTick().Sub(g.cfg.Now()), 0))
		if g.failed != nil {
			timer.Stop()
		}
		g.mu.Unlock()
	}
}

// processReady carries out one output of the node and reports whether there may be more.
func (g *Group) processReady(ctx context.Context, s *senders) bool {
	g.mu.Lock()
	o, ok := g.node.Ready()
	g.mu.Unlock()
	if !ok || ctx.Err() != nil {
		g.publishStatus()
		return false
	}
	s.send(o.Send)
	if err := g.save(&o); err != nil {
		g.fail(err)
		return false
	}
	s.send(o.SendAfterSave)
	if err := g.apply(&o); err != nil {
		g.fail(err)
		return false
	}
	g.mu.Lock()
	g.node.Done(o)
	for _, r := range o.Reads {
		if ch, ok := g.reads[r.ID]; ok {
			ch <- r.Index
			delete(g.reads, r.ID)
		}
	}
	g.mu.Unlock()
	if err := g.maybeSnapshot(); err != nil {
		g.fail(err)
		return false
	}
	g.publishStatus()
	return true
}

func (g *Group) save(o *raft.Output) error {
	if o.Snapshot != nil {
		if o.State != nil {
			if err := g.cfg.Storage.Save(o.State, nil); err != nil {
				return err
			}
		}
		if err := g.cfg.Storage.Install(*o.Snapshot); err != nil {
			return err
		}
		if len(o.Entries) == 0 {
			return nil
		}
	}
	if o.State == nil && len(o.Entries) == 0 {
		return nil
	}
	g.counters.saves.Add(1)
	g.counters.savedEntries.Add(uint64(len(o.Entries)))
	return g.cfg.Storage.Save(o.State, o.Entries)
}

func (g *Group) apply(o *raft.Output) error {
	if o.Snapshot == nil && len(o.Committed) == 0 {
		return nil
	}
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	if s := o.Snapshot; s != nil {
		if err := g.cfg.Machine.Restore(s.Index, s.Data); err != nil {
			return err
		}
		g.mu.Lock()
		g.applied, g.appliedBytes, g.snapshotSize = s.Index, 0, fleet.Bytes(len(s.Data))
		g.mu.Unlock()
	}
	g.counters.applied.Add(uint64(len(o.Committed)))
	results := make([][]byte, len(o.Committed))
	for i, e := range o.Committed {
		if e.Kind == raft.EntryCommand {
			results[i] = g.cfg.Machine.Apply(e.Index, e.Data)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, e := range o.Committed {
		g.applied = e.Index
		g.appliedBytes += e.Size()
		w, ok := g.waiters[e.Index]
		if !ok {
			continue
		}
		delete(g.waiters, e.Index)
		if w.term == e.Term {
			w.done <- outcome{result: results[i]}
		} else {
			w.done <- outcome{err: &Uncertain{Cause: &NotLeader{Leader: g.node.Status().Leader}}}
		}
	}
	return nil
}

// maybeSnapshot saves a snapshot once enough entries were applied, and drops old entries.
func (g *Group) maybeSnapshot() error {
	g.mu.Lock()
	st := g.node.Status()
	snapshotDue := g.applied-st.Snapshot >= fleet.Index(g.cfg.SnapshotEntries) || g.appliedBytes >= g.cfg.SnapshotBytes
	// A large state is saved less often, so that snapshots write no more than the log does.
	snapshotDue = snapshotDue && g.appliedBytes >= g.snapshotSize
	applied := g.applied
	g.mu.Unlock()
	if !snapshotDue || applied == st.Snapshot {
		return nil
	}
	i, data, err := g.encodeState()
	if err != nil {
		return err
	}
	g.mu.Lock()
	snap, ok := g.node.SnapshotAt(i)
	keep := g.compactionIndex(i)
	g.mu.Unlock()
	if !ok {
		return nil
	}
	snap.Data = data
	if err := g.cfg.Storage.Compact(snap, keep); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Compact(snap, keep)
	g.appliedBytes, g.snapshotSize = 0, fleet.Bytes(len(data))
	g.counters.snapshots.Add(1)
	g.cfg.Log.Debug(logSnapshot, zap.Uint64("index", uint64(i)), zap.Int("bytes", len(data)))
	return nil
}

// compactionIndex returns the index after which entries are kept in the log when a snapshot at i is taken, so that they are
// within KeepEntries and KeepBytes; g.mu must be held.
func (g *Group) compactionIndex(i fleet.Index) fleet.Index {
	st := g.node.Status()
	from := max(st.First-1, i-min(i, fleet.Index(g.cfg.KeepEntries)))
	for {
		es, ok := g.node.EntriesAfter(from, i, g.cfg.KeepBytes)
		if !ok || len(es) == 0 || es[len(es)-1].Index >= i {
			return from
		}
		from += max(1, (i-from)/2)
	}
}

// fail permanently stops this host from taking part in the group.
func (g *Group) fail(err error) {
	g.mu.Lock()
	g.failed = err
	g.node.Halt()
	g.failWaiters(err)
	g.mu.Unlock()
	g.cfg.Log.Error(logFailed, zap.Error(err))
	g.publishStatus()
}

// publishStatus logs and counts changes of the node's status, wakes the goroutines that wait for a change, and ends
// waiting calls if this host is not the leader.
func (g *Group) publishStatus() {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.node.Status()
	if st.Role != raft.Leader {
		g.failWaiters(&NotLeader{Leader: st.Leader})
	}
	if st.Role == raft.Candidate && st.Term != g.lastStatus.Term {
		g.counters.elections.Add(1)
	}
	if st.Role != g.lastStatus.Role {
		g.cfg.Log.Info(logRole, zap.Stringer("role", st.Role), zap.Uint64("term", uint64(st.Term)))
	}
	if st.Leader != g.lastStatus.Leader {
		g.cfg.Log.Info(logLeader, zap.String("leader", string(st.Leader)), zap.Uint64("term", uint64(st.Term)))
	}
	if st.Refused && !g.lastStatus.Refused {
		g.cfg.Log.Warn(logRefused)
	}
	g.lastStatus = st
	close(g.statusChanged)
	g.statusChanged = make(chan struct{})
	if g.applied != g.notifiedApplied || g.failed != nil {
		g.notifiedApplied = g.applied
		close(g.appliedChanged)
		g.appliedChanged = make(chan struct{})
	}
}
