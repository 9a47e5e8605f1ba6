package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
)

// Heartbeat takes in what a backend server says of itself, on whichever host it arrived, and returns the address to which the
// next one should go. Without an error the leader knows what it tells.
func (c *Controller) Heartbeat(ctx context.Context, h registry.Heartbeat) (string, error) {
	if c.takeHere(h) {
		return c.cfg.Control, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &controlapi.HeartbeatRequest{Heartbeat: h}
	res, err := c.heartbeat(ctx, c.cfg.Self, req)
	if err == nil && res.Reply.Status != hosts.StatusOK {
		if _, err = controlapi.Call[controlapi.HeartbeatRequest, controlapi.HeartbeatResponse](ctx, c.cfg.Client,
			controlapi.ProcedureHeartbeat, 0, req); err == nil {
			c.passedOn(h)
		}
	}
	if err != nil {
		return "", ErrUnavailable.Wrap(err, "the leader of the control group did not take the heartbeat; send it to another host")
	}
	return c.cfg.Control, nil
}

// Leave takes in that a backend server has left; an incarnation of 0 stands for the newest one.
func (c *Controller) Leave(ctx context.Context, id fleet.BackendID, inc fleet.Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &controlapi.LeaveRequest{Instance: id, Incarnation: inc}
	if _, err := controlapi.CallHere(ctx, c.cfg.Client, c.cfg.Self, c.leave, controlapi.ProcedureLeave, 0, req); err != nil {
		return ErrUnavailable.Wrap(err, "the leader of the control group did not take the leave; send it to another host")
	}
	return nil
}

func (c *Controller) heartbeat(_ context.Context, _ fleet.HostID, req *controlapi.HeartbeatRequest) (*controlapi.HeartbeatResponse, error) {
	h := req.Heartbeat
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading() == nil {
		return &controlapi.HeartbeatResponse{Reply: c.notLeader()}, nil
	}
	before, _, _ := c.registry.Get(h.Instance.ID)
	v := c.registry.Observe(now, h)
	c.count.heartbeats.With(v.String()).Inc(1)
	if v == registry.Full {
		return nil, ErrRejected.New("no room for another backend server; raise the bound of the registry")
	}
	if v == registry.Unchanged {
		in, beat, _ := c.registry.Get(h.Instance.ID)
		c.planner.Observe(now, in, beat)
	}
	if v == registry.Changed {
		c.observe(now)
		c.logInstance(before, h.Instance, h.Seq)
		c.publish(h.Instance.ID)
		c.announce()
		c.hurry()
	}
	return &controlapi.HeartbeatResponse{}, nil
}

func (c *Controller) logInstance(was, in registry.Instance, seq uint64) {
	c.cfg.Log.Info(logInstance, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
		zap.Uint64("incarnation-before", uint64(was.Incarnation)), zap.String("service", string(in.Service)),
		zap.String("address", in.Address), zap.Stringer("state", in.State), zap.Uint64("seq", seq))
}

func (c *Controller) leave(_ context.Context, _ fleet.HostID, req *controlapi.LeaveRequest) (*controlapi.HeartbeatResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading() == nil {
		return &controlapi.HeartbeatResponse{Reply: c.notLeader()}, nil
	}
	now := c.cfg.Now()
	if c.registry.Leave(now, req.Instance, req.Incarnation) {
		c.observe(now)
		in, _, _ := c.registry.Get(req.Instance)
		c.logInstance(in, in, 0)
		c.announce()
		c.hurry()
	}
	return &controlapi.HeartbeatResponse{}, nil
}

// observe tells the planner of all instances that have changed, also those that another one has displaced; c.mu is held.
func (c *Controller) observe(now time.Time) {
	for _, in := range c.registry.ChangedAfter(c.observed) {
		_, beat, _ := c.registry.Get(in.ID)
		c.planner.Observe(now, in, beat)
	}
	c.observed = c.registry.Revision()
}

// publish puts the planner's view of what engines hold into the registry, of all engines or of the given ones; c.mu is held.
func (c *Controller) publish(ids ...fleet.BackendID) {
	now := c.cfg.Now()
	if len(ids) == 0 {
		ids = c.planner.Engines()
	}
	news := false
	for _, id := range ids {
		models, known := c.planner.ServingModels(now, id)
		in, _, ok := c.registry.Get(id)
		news = known && ok && c.registry.SetModels(id, in.Incarnation, models) || news
	}
	if news {
		c.announce()
	}
}
