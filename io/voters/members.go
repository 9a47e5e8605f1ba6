package voters

import (
	"context"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

// change carries out a membership change, waiting for earlier ones, and returns once it is committed.
func (g *Group) change(ctx context.Context, f func(now time.Time) (fleet.Index, error)) error {
	var at fleet.Index
	var term raft.Term
	err := g.wait(ctx, &g.changed, func() (bool, error) {
		if err := g.usable(); err != nil {
			return false, err
		}
		i, err := f(g.set.Now())
		if raft.IsBusy(err) {
			return false, nil
		}
		at, term = i, g.node.Status().Term
		return true, err
	})
	if err != nil {
		return err
	}
	g.notify()
	return g.wait(ctx, &g.changed, func() (bool, error) {
		s := g.node.Status()
		if s.Term != term && s.Commit < at {
			return false, &Uncertain{MayCommit: true, Cause: &NotLeader{Leader: s.Leader}}
		}
		return s.Commit >= at, nil
	})
}

// AddLearner adds a host without a vote; it returns once the change is committed.
func (g *Group) AddLearner(ctx context.Context, h fleet.HostID) error {
	return g.change(ctx, func(now time.Time) (fleet.Index, error) { return g.node.AddLearner(now, h) })
}

// Promote waits until a learner has caught up and makes it a voter.
func (g *Group) Promote(ctx context.Context, h fleet.HostID) error {
	return g.change(ctx, func(now time.Time) (fleet.Index, error) { return g.node.Promote(now, h) })
}

// Remove takes a host out of the group.
func (g *Group) Remove(ctx context.Context, h fleet.HostID) error {
	return g.change(ctx, func(now time.Time) (fleet.Index, error) { return g.node.Remove(now, h) })
}

// Replace makes a voter again of a host that came back with an empty disk. A call that was interrupted can be repeated:
// it goes on where the membership stands.
func (g *Group) Replace(ctx context.Context, h fleet.HostID) error {
	m, ok := g.Status().Members.Find(h)
	if ok && !m.Learner {
		if err := g.Remove(ctx, h); err != nil {
			return err
		}
		ok = false
	}
	if !ok {
		if err := g.AddLearner(ctx, h); err != nil {
			return err
		}
	}
	return g.Promote(ctx, h)
}

// TransferLeadership hands leadership to a voter and returns once this host is no longer the leader.
func (g *Group) TransferLeadership(ctx context.Context, to fleet.HostID) error {
	started := false
	return g.wait(ctx, &g.changed, func() (bool, error) {
		if started {
			return g.node.Status().Role != raft.Leader, nil
		}
		if err := g.usable(); err != nil {
			return false, err
		}
		err := g.node.TransferLeadership(g.set.Now(), to)
		if raft.IsBusy(err) {
			return false, nil
		}
		started = true
		g.notify()
		return false, err
	})
}
