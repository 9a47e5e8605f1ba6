package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanway/core/catalog"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
)

const (
	// maxDepartures bounds the departures on record; servers beyond it get no acknowledgement before there is room again.
	maxDepartures = 4096
	// departureRetention is the time for which a leader keeps a departure on record, since a heartbeat of the server may arrive late.
	departureRetention = registry.DefaultRetention
)

// Leave records that a backend server has left; an incarnation of 0 stands for the newest one. If the error is nil, every later leader
// knows it.
func (c *Controller) Leave(ctx context.Context, id fleet.BackendID, inc fleet.Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &controlapi.LeaveRequest{Instance: id, Incarnation: inc}
	if _, err := controlapi.CallLocalFirst(ctx, c.cfg.Client, c.cfg.Self, c.handleLeave, controlapi.ProcedureLeave, 0, req); err != nil {
		return ErrUnavailable.Wrap(err, "the leader of the control group did not accept the leave call; send it to another host")
	}
	return nil
}

func (c *Controller) handleLeave(ctx context.Context, _ fleet.HostID, req *controlapi.LeaveRequest) (*controlapi.HeartbeatResponse, error) {
	res, in, err := c.observeLeave(req)
	if err == nil && res.Reply.Status == hosts.StatusOK {
		err = c.commitDeparture(ctx, in)
	}
	return res, err
}

// observeLeave records in the registry that a server has left if this host leads, and returns the server. Entry hosts hear of it before it
// is committed.
func (c *Controller) observeLeave(req *controlapi.LeaveRequest) (*controlapi.HeartbeatResponse, registry.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.validLeadership() == nil {
		return &controlapi.HeartbeatResponse{Reply: c.notLeader()}, registry.Instance{}, nil
	}
	in, _, known := c.registry.Get(req.Instance)
	if !known && req.Incarnation == 0 {
		return nil, in, ErrRejected.New("the server that leaves is not known and names no incarnation; name it, or repeat the call after a heartbeat")
	}
	if !known || req.Incarnation != 0 && req.Incarnation != in.Incarnation {
		in = registry.Instance{ID: req.Instance, Incarnation: req.Incarnation}
	}
	in.State = registry.Gone
	now := c.cfg.Now()
	if c.registry.Depart(now, in) {
		c.observeChanged(now)
		c.logInstance(in, in, 0)
		c.notifyChanged()
		c.triggerPlanning()
	}
	return &controlapi.HeartbeatResponse{}, in, nil
}

// commitDeparture commits the state of a server that drains or has left, so that every later leader knows it before it tells entry hosts
// of servers. Its loaded models and rate limit no longer matter.
func (c *Controller) commitDeparture(ctx context.Context, in registry.Instance) error {
	state := c.state()
	if state.HasDeparture(fleet.BackendIncarnation{Backend: in.ID, Incarnation: in.Incarnation}, in.State) {
		return nil
	}
	if len(state.Departures) >= maxDepartures {
		return ErrRejected.New("too many servers that leave are on record; there is room again a minute after they have left")
	}
	in.Models, in.Limit, in.Silent, in.Revision = nil, fleet.RateLimit{}, false, 0
	err := c.propose(ctx, catalog.Command{AddDeparture: &in})
	c.cfg.Log.Info(logDeparture, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
		zap.Stringer("state", in.State), zap.Error(err))
	return err
}

// adoptDepartures records the departures of earlier leaderships in the registry; c.mu is held.
func (c *Controller) adoptDepartures(now time.Time, state catalog.State) {
	for _, in := range state.Departures {
		c.registry.Depart(now, in)
	}
}

// expiredDepartures returns the departures that this leader has had on record for departureRetention and whose servers are not draining
// any more; c.mu is held.
func (c *Controller) expiredDepartures(now time.Time) []fleet.BackendIncarnation {
	var out []fleet.BackendIncarnation
	since := map[fleet.BackendIncarnation]time.Time{}
	for id, d := range c.state().Departures {
		b := fleet.BackendIncarnation{Backend: id, Incarnation: d.Incarnation}
		first, known := c.departuresSince[b]
		if !known {
			first = now
		}
		since[b] = first
		in, _, _ := c.registry.Get(id)
		drains := in.Incarnation == d.Incarnation && in.State == registry.Draining
		if !drains && now.Sub(first) > departureRetention {
			out = append(out, b)
		}
	}
	c.departuresSince = since
	return out
}

// removeDepartures removes departures from the record.
func (c *Controller) removeDepartures(ctx context.Context, list []fleet.BackendIncarnation) {
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Those that stay on record are tried again with the next check.
	err := c.propose(ctx, catalog.Command{RemoveDepartures: list})
	c.cfg.Log.Info(logDeparturesGone, zap.Int("servers", len(list)), zap.Error(err))
}
