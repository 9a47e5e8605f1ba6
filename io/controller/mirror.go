package controller

import (
	"context"
	"time"

	"toucanway/core/crashes"
	"toucanway/core/fanout"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// mirror is a follower's copy of what the leader tells entry hosts; the zero value knows nothing.
type mirror struct {
	position  controlapi.Position
	complete  bool
	instances registry.Mirror
	// configuration is the newest configuration, compressed.
	configuration []byte
	leader        fleet.HostID
	members       []fleet.HostID
	mirrors       []fanout.Mirror
	// crashes holds the contents of requests that crash backend servers.
	crashes crashes.Mirror
	// confirmedAt is the time up to which the mirror has all changes.
	confirmedAt time.Time
}

// mirrorHost is a member of the group that follows this host as leader.
type mirrorHost struct {
	fanout.Mirror
	askedAt time.Time
}

// current reports whether the mirror is recent, and not behind a follower's term.
func (m *mirror) current(now time.Time, at controlapi.Position) bool {
	return m.position.Term != 0 && m.position.Term >= at.Term && now.Sub(m.confirmedAt) <= maxMirrorAge
}

// apply applies the leader's answer to a call that began at asked, and reports whether hosts that wait for an answer have to look again:
// for changes that concern them, or since the mirror was not current.
func (m *mirror) apply(now, asked time.Time, res *controlapi.FollowResponse) bool {
	before := m.position
	// Entry hosts are not told of each other.
	before.Entries = res.Position.Entries
	news := before != res.Position || res.Crashes != nil || !m.current(now, controlapi.Position{})
	if res.Position.Term != m.position.Term {
		m.instances.Reset()
		m.complete = res.Complete
	}
	m.instances.Apply(asked.Add(res.AsOf), res.Instances, res.Position.Backends)
	if len(res.Configuration) > 0 {
		m.configuration = res.Configuration
	}
	if res.Members != nil {
		m.members = res.Members
	}
	if res.Mirrors != nil {
		m.mirrors = res.Mirrors
	}
	m.crashes.Apply(now, res.Crashes)
	m.position, m.leader, m.confirmedAt = res.Position, res.Leader, asked.Add(res.AsOf)
	return news
}

// changesAfter returns the changes after the position of an entry host, and whether there are any. The host may be ahead of the mirror if it
// has followed another member.
func (m *mirror) changesAfter(now time.Time, req *controlapi.FollowRequest) (*controlapi.FollowResponse, bool) {
	at := req.Position
	changed := at.Term != m.position.Term
	if changed {
		at.Backends, at.Mirrors = 0, 0
	}
	res := &controlapi.FollowResponse{Leader: m.leader, Complete: changed && m.complete, Position: controlapi.Position{
		Term: m.position.Term, Backends: max(m.position.Backends, at.Backends), Configuration: max(m.position.Configuration, at.Configuration),
		Mirrors: max(m.position.Mirrors, at.Mirrors), HasConfiguration: m.position.HasConfiguration || at.HasConfiguration,
	}}
	if m.position.Backends > at.Backends {
		res.Instances, changed = m.instances.ChangedAfter(at.Backends), true
	}
	if m.position.HasNewerConfiguration(at) {
		res.Configuration, changed = m.configuration, true
	}
	res.Crashes = m.crashes.Listings(now, req.Crashes)
	changed = changed || res.Crashes != nil
	if m.position.Mirrors > at.Mirrors {
		res.Mirrors, changed = m.mirrors, true
	}
	if changed {
		res.Members = m.members
	}
	return res, changed
}

// followLeader replicates the leader's state while this host doesn't lead.
func (c *Controller) followLeader(ctx context.Context) error {
	self := fanout.Mirror{Host: c.cfg.Self, Region: c.cfg.Region}
	var at controlapi.Position
	for ctx.Err() == nil {
		c.mu.Lock()
		leading, changed, known := c.leadership != nil, c.changed, c.mirror.crashes.Known()
		c.mu.Unlock()
		if leading {
			at = controlapi.Position{}
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		asked := c.cfg.Now()
		req := &controlapi.FollowRequest{Position: at, Hold: followHold, Entries: true, Mirror: &self, Crashes: known}
		call, cancel := context.WithTimeout(ctx, 2*followHold)
		res, err := controlapi.Call[controlapi.FollowRequest, controlapi.FollowResponse](call, c.cfg.Client,
			controlapi.ProcedureFollow, followHold, req)
		cancel()
		if err != nil {
			continue
		}
		c.mu.Lock()
		if c.leadership == nil {
			c.applyChanges(at, res)
			if c.mirror.apply(c.cfg.Now(), asked, res) {
				c.notifyChanged()
			}
			at = res.Position
		}
		c.mu.Unlock()
	}
	return nil
}

// applyChanges applies the leader's answer to the state of this follower; c.mu is held.
func (c *Controller) applyChanges(at controlapi.Position, res *controlapi.FollowResponse) {
	now := c.cfg.Now()
	c.leaderAnsweredAt = now
	if res.Position.Term != at.Term {
		// A new leader needs one complete heartbeat of each backend server.
		c.relay = newRelay()
	}
	if res.Complete || at.Term == 0 {
		c.registry = registry.New(registry.Settings{})
	}
	c.registry.Adopt(now, res.Instances)
	if res.Entries != nil || res.Position.Entries != at.Entries || res.Position.Term != at.Term {
		c.leaderEntries, c.leaderDirectorySize = res.Entries, res.EntriesPerDataCentre
	}
	c.cfg.Client.SetMembers(res.Members)
}
