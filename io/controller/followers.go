package controller

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// follow answers with what has changed after a position, and waits for a change if there is none.
func (c *Controller) follow(ctx context.Context, _ fleet.HostID, req *controlapi.FollowRequest) (*controlapi.FollowResponse, error) {
	hold := time.NewTimer(min(req.Hold, maxHold))
	defer hold.Stop()
	for {
		c.mu.Lock()
		r := c.leading()
		if r == nil {
			c.mu.Unlock()
			return &controlapi.FollowResponse{Reply: c.notLeader()}, nil
		}
		res, news := c.changes(r, req)
		changed := c.changed
		c.mu.Unlock()
		if news {
			return res, nil
		}
		select {
		case <-changed:
			if err := pause.For(ctx, c.gather()); err != nil {
				return nil, err
			}
		case <-hold.C:
			return res, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// changes returns what is new after a position, and whether anything is; c.mu is held.
func (c *Controller) changes(r *reign, req *controlapi.FollowRequest) (*controlapi.FollowResponse, bool) {
	at, term := req.Position, uint64(r.term)
	news := at.Term != term
	if news {
		at.Backends, at.Entries = 0, 0
	}
	state := c.state()
	res := &controlapi.FollowResponse{Position: controlapi.Position{
		Term: term, Backends: c.registry.Revision(), Entries: c.entryRevision, Configuration: max(state.Version, at.Configuration),
	}}
	res.Complete = news && c.cfg.Now().Sub(r.since) > settleTime
	if news || at.Backends != res.Position.Backends {
		res.Instances, news = c.registry.ChangedAfter(at.Backends), true
	}
	if req.Entries && (news || at.Entries != res.Position.Entries) {
		res.Entries, news = c.ready(), true
	}
	if state.Version > at.Configuration {
		res.Configuration, news = state.Data, true
	}
	if news {
		res.Members = c.cfg.Group.Status().Voters
	}
	return res, news
}

// ready returns the entry hosts that take callers, sorted; c.mu is held.
func (c *Controller) ready() []controlapi.Entry {
	out := []controlapi.Entry{}
	for _, e := range c.entries {
		if e.ready {
			out = append(out, e.Entry)
		}
	}
	slices.SortFunc(out, func(a, b controlapi.Entry) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// report takes in an entry host's account of itself.
func (c *Controller) report(_ context.Context, from fleet.HostID, req *controlapi.ReportRequest) (*controlapi.ReportResponse, error) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading() == nil {
		return &controlapi.ReportResponse{Reply: c.notLeader()}, nil
	}
	e := c.entries[from]
	if e == nil {
		e = &entry{}
		c.entries[from] = e
	}
	if e.Entry != req.Entry || e.ready != req.Ready {
		c.entryRevision++
		c.cfg.Log.Info(logEntry, zap.String("entry", string(from)), zap.Bool("ready", req.Ready), zap.String("address", req.Entry.Address))
		defer c.announce()
	}
	c.addLoads(e.loads, -1)
	c.addLoads(req.Loads, 1)
	e.Entry, e.ready, e.heard, e.loads = req.Entry, req.Ready, now, req.Loads
	c.planner.UpdateDemand(now, from, req.Demands)
	for _, d := range req.Demands {
		if d.Waiting > 0 {
			c.hurry()
		}
	}
	return &controlapi.ReportResponse{Loads: c.othersLoads(req.Loads), Entries: len(c.entries), Interval: c.reportInterval()}, nil
}

// reportInterval is the time between two reports of an entry host; c.mu is held.
func (c *Controller) reportInterval() time.Duration {
	return min(max(leastReport, reportShare*time.Duration(len(c.entries))), mostReport)
}

// gather returns how long changes are gathered before followers are told.
func (c *Controller) gather() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(gatherShare*time.Duration(len(c.entries)), mostGather)
}

// expireEntries drops entry hosts that no longer report; c.mu is held.
func (c *Controller) expireEntries(now time.Time) {
	lifetime := (1+entryMisses)*c.reportInterval() + entrySlack
	for h, e := range c.entries {
		if now.Sub(e.heard) > lifetime {
			c.addLoads(e.loads, -1)
			delete(c.entries, h)
			c.entryRevision++
			c.cfg.Log.Info(logEntry, zap.String("entry", string(h)), zap.Bool("ready", false), zap.Duration("silent-ms", now.Sub(e.heard)))
			c.announce()
		}
	}
}

// mirror follows the leader while this host isn't it.
func (c *Controller) mirror(ctx context.Context) error {
	var at controlapi.Position
	for ctx.Err() == nil {
		c.mu.Lock()
		leading, changed := c.reign != nil, c.changed
		c.mu.Unlock()
		if leading {
			at = controlapi.Position{}
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		// The configuration comes by the replicated log.
		at.Configuration = math.MaxUint64
		call, cancel := context.WithTimeout(ctx, 2*followHold)
		res, err := controlapi.Call[controlapi.FollowRequest, controlapi.FollowResponse](call, c.cfg.Client,
			controlapi.ProcedureFollow, followHold, &controlapi.FollowRequest{Position: at, Hold: followHold, Entries: true})
		cancel()
		if err != nil {
			continue
		}
		c.mu.Lock()
		if c.reign == nil {
			c.adopt(at, res)
		}
		c.mu.Unlock()
		at = res.Position
	}
	return nil
}

// adopt takes over what the leader told; c.mu is held.
func (c *Controller) adopt(at controlapi.Position, res *controlapi.FollowResponse) {
	now := c.cfg.Now()
	c.mirrored = now
	if res.Position.Term != at.Term {
		// Another leader needs each heartbeat whole once.
		c.relay = newRelay()
	}
	if res.Complete || at.Term == 0 {
		c.registry = registry.New(registry.Settings{})
	}
	c.registry.Adopt(now, res.Instances)
	if res.Entries != nil || res.Position.Entries != at.Entries || res.Position.Term != at.Term {
		c.followed = res.Entries
	}
	c.cfg.Client.SetMembers(res.Members)
}
