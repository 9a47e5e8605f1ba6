package voters

import (
	"context"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

// changeMembership begins a membership change as soon as no earlier one is pending, and returns once it is committed.
func (g *Group) changeMembership(ctx context.Context, change func(now time.Time) (fleet.Index, error)) error {
	var index fleet.Index
	var term raft.Term
	err := g.wait(ctx, &g.statusChanged, func() (bool, error) {
		if err := g.checkRunning(); err != nil {
			return false, err
		}
		i, err := change(g.cfg.Now())
		if raft.IsBusy(err) {
			return false, nil
		}
		index, term = i, g.node.Status().Term
		return true, err
	})
	if err != nil {
		return err
	}
	g.wakeLoop()
	return g.wait(ctx, &g.statusChanged, func() (bool, error) {
		s := g.node.Status()
		if s.Term != term && s.Commit < index {
			return false, &Uncertain{MayCommit: true, Cause: &NotLeader{Leader: s.Leader}}
		}
		return s.Commit >= index, nil
	})
}

// AddLearner adds a host without a vote and returns once the change is committed.
func (g *Group) AddLearner(ctx context.Context, h fleet.HostID) error {
	return g.changeMembership(ctx, func(now time.Time) (fleet.Index, error) { return g.node.AddLearner(now, h) })
}

// Promote waits until a learner has caught up, makes it a voter and returns once the change is committed.
func (g *Group) Promote(ctx context.Context, h fleet.HostID) error {
	return g.changeMembership(ctx, func(now time.Time) (fleet.Index, error) { return g.node.Promote(now, h) })
}

// Remove removes a host from the group and returns once the change is committed.
func (g *Group) Remove(ctx context.Context, h fleet.HostID) error {
	return g.changeMembership(ctx, func(now time.Time) (fleet.Index, error) { return g.node.Remove(now, h) })
}

// Replace makes a host that came back with an empty disk a voter again. An interrupted call can be repeated: it continues
// from the current membership.
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

// TransferLeadership transfers leadership to another voter and returns once this host is no longer the leader.
func (g *Group) TransferLeadership(ctx context.Context, to fleet.HostID) error {
	started := false
	return g.wait(ctx, &g.statusChanged, func() (bool, error) {
		if started {
			return g.node.Status().Role != raft.Leader, nil
		}
		if err := g.checkRunning(); err != nil {
			return false, err
		}
		err := g.node.TransferLeadership(g.cfg.Now(), to)
		if raft.IsBusy(err) {
			return false, nil
		}
		started = true
		g.wakeLoop()
		return false, err
	})
}
