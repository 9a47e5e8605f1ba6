package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"toucanway/core/fanout"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/io/controlapi"
)

// handleFollow answers with the changes after a position. If there are none it waits for a change, up to the request's Hold. A member
// that doesn't lead answers entry hosts from its mirror of the leader's state.
func (c *Controller) handleFollow(ctx context.Context, _ fleet.HostID, req *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
	arrived := c.cfg.Now()
	hold := time.NewTimer(min(req.Hold, maxHold))
	defer hold.Stop()
	stale := time.NewTimer(min(max(req.Hold, minMirrorWait), maxMirrorWait))
	defer stale.Stop()
	c.addFollower(1)
	defer c.addFollower(-1)
	for {
		c.mu.Lock()
		res, hasChanges := c.followersAnswer(arrived, req, false)
		if hasChanges {
			c.countChanges(res)
		}
		changed := c.changed
		var entriesChanged chan struct{}
		if req.Entries {
			entriesChanged = c.entriesChanged
		}
		c.mu.Unlock()
		if hasChanges {
			return res, nil
		}
		end := hold.C
		if res == nil {
			end = stale.C
		}
		select {
		case <-changed:
		case <-entriesChanged:
		case <-end:
			return c.lastAnswer(arrived, req), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if err := pause.For(ctx, c.collectTime(req)); err != nil {
			return nil, err
		}
	}
}

// followersAnswer returns the answer to a follower, and whether it has changes or a refusal, so that the follower need not wait; c.mu
// is held. The answer is nil while this host doesn't know the newest state, or while it leads and an entry host should rather wait for
// the first mirror; last ends the latter wait.
func (c *Controller) followersAnswer(arrived time.Time, req *controlapi.FollowRequest, last bool) (*controlapi.FollowResponse, bool) {
	now := c.cfg.Now()
	if r := c.readAsLeader(now); r != nil {
		c.recordMirror(now, req.Mirror)
		if req.Mirror == nil && !req.Direct {
			if len(c.mirrors) > 0 {
				return &controlapi.FollowResponse{Leader: c.cfg.Self, Mirrors: c.mirrorList(), MirrorsOnly: true}, true
			}
			if !last && now.Sub(r.since) < maxMirrorWait {
				return nil, false
			}
		}
		res, changed := c.changesAfter(r, req)
		res.AsOf = r.stateAsOf.Sub(arrived)
		return res, changed
	}
	if req.Mirror != nil {
		return &controlapi.FollowResponse{Reply: c.notLeader()}, true
	}
	if !c.mirror.current(now, req.Position) {
		return nil, false
	}
	res, changed := c.mirror.changesAfter(now, req)
	res.AsOf = c.mirror.confirmedAt.Sub(arrived)
	return res, changed
}

// lastAnswer returns the answer to a follower that has waited for as long as it may.
func (c *Controller) lastAnswer(arrived time.Time, req *controlapi.FollowRequest) *controlapi.FollowResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if res, _ := c.followersAnswer(arrived, req, true); res != nil {
		return res
	}
	return &controlapi.FollowResponse{Reply: c.notLeader()}
}

// changesAfter returns the changes after a position, and whether there are any; c.mu is held.
func (c *Controller) changesAfter(r *leadership, req *controlapi.FollowRequest) (*controlapi.FollowResponse, bool) {
	at, term := req.Position, uint64(r.term)
	changed := at.Term != term
	if changed {
		at.Backends, at.Entries, at.Mirrors = 0, 0, 0
	}
	state := r.state
	res := &controlapi.FollowResponse{Leader: c.cfg.Self, Position: controlapi.Position{
		Term: term, Backends: c.registry.Revision(), Entries: c.entryRevision, Configuration: max(state.Version, at.Configuration),
		Mirrors: c.mirrorRevision, HasConfiguration: state.HasConfiguration() || at.HasConfiguration,
	}}
	res.Complete = changed && c.cfg.Now().Sub(r.since) > firstHeartbeatsTime
	if changed || at.Backends != res.Position.Backends {
		res.Instances, changed = c.registry.ChangedAfter(at.Backends), true
	}
	if req.Entries && (changed || at.Entries != res.Position.Entries) {
		res.Entries, res.EntriesPerDataCentre, changed = c.readyEntries(), c.directorySize.Hosts(), true
	}
	if res.Position.HasNewerConfiguration(at) {
		res.Configuration, changed = state.Data, true
	}
	res.Crashes = c.detector.Listings(c.cfg.Now(), req.Crashes)
	changed = changed || res.Crashes != nil
	if at.Mirrors != res.Position.Mirrors {
		res.Mirrors, changed = c.mirrorList(), true
	}
	if changed {
		res.Members = c.cfg.Group.Status().Voters
	}
	return res, changed
}

// recordMirror records that a member of the group follows this host as leader; c.mu is held. Entry hosts have no mirror, and a call of this
// host's own may be under way when it is elected.
func (c *Controller) recordMirror(now time.Time, m *fanout.Mirror) {
	if m == nil || m.Host == c.cfg.Self {
		return
	}
	known, ok := c.mirrors[m.Host]
	c.mirrors[m.Host] = mirrorHost{*m, now}
	if !ok || known.Mirror != *m {
		c.mirrorRevision++
		c.notifyChanged()
	}
}

// expireMirrors drops the members that no longer follow; c.mu is held.
func (c *Controller) expireMirrors(now time.Time) {
	for h, m := range c.mirrors {
		if now.Sub(m.askedAt) > mirrorTimeout {
			delete(c.mirrors, h)
			c.mirrorRevision++
			c.notifyChanged()
		}
	}
}

// mirrorList returns the members that follow this host as leader, sorted; c.mu is held.
func (c *Controller) mirrorList() []fanout.Mirror {
	out := make([]fanout.Mirror, 0, len(c.mirrors))
	for _, m := range c.mirrors {
		out = append(out, m.Mirror)
	}
	slices.SortFunc(out, func(a, b fanout.Mirror) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// countChanges counts an answer that tells a follower of changes; c.mu is held.
func (c *Controller) countChanges(res *controlapi.FollowResponse) {
	if res.MirrorsOnly {
		c.work.redirections++
		return
	}
	c.metrics.changesTold.Inc(1)
	c.work.changes++
	if len(res.Configuration) > 0 {
		c.work.configurations++
	}
}

// readyEntries returns the entry hosts that accept callers, sorted; c.mu is held.
func (c *Controller) readyEntries() []controlapi.Entry {
	out := []controlapi.Entry{}
	for _, e := range c.entries {
		if e.ready {
			out = append(out, e.Entry)
		}
	}
	slices.SortFunc(out, func(a, b controlapi.Entry) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// addFollower changes the number of followers that wait for an answer.
func (c *Controller) addFollower(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followers += n
}

// collectTime returns the time for which changes are collected before a follower is told of them. It grows with the followers of this
// host, so that its answers in a second don't. Mirrors are few and pass the changes on.
func (c *Controller) collectTime(req *controlapi.FollowRequest) time.Duration {
	if req.Mirror != nil {
		return mirrorCollectTime
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(collectTimePerFollower*time.Duration(c.followers), maxCollectTime)
}
