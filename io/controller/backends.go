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

// Heartbeat processes a heartbeat that has arrived at this host, which need not be the leader, and returns the address for the
// next one. If the error is nil, the leader knows the state in the heartbeat.
func (c *Controller) Heartbeat(ctx context.Context, h registry.Heartbeat) (string, error) {
	if c.recordUnchanged(h) {
		return c.cfg.ControlAddress, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &controlapi.HeartbeatRequest{Heartbeat: h}
	res, err := c.handleHeartbeat(ctx, c.cfg.Self, req)
	if err == nil && res.Reply.Status != hosts.StatusOK {
		if _, err = controlapi.Call[controlapi.HeartbeatRequest, controlapi.HeartbeatResponse](ctx, c.cfg.Client,
			controlapi.ProcedureHeartbeat, 0, req); err == nil {
			c.recordForwarded(h)
		}
	}
	if err != nil {
		return "", ErrUnavailable.Wrap(err, "the leader of the control group did not accept the heartbeat; send it to another host")
	}
	return c.cfg.ControlAddress, nil
}

// Leave records that a backend server has left; an incarnation of 0 stands for the newest one.
func (c *Controller) Leave(ctx context.Context, id fleet.BackendID, inc fleet.Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &controlapi.LeaveRequest{Instance: id, Incarnation: inc}
	if _, err := controlapi.CallLocalFirst(ctx, c.cfg.Client, c.cfg.Self, c.handleLeave, controlapi.ProcedureLeave, 0, req); err != nil {
		return ErrUnavailable.Wrap(err, "the leader of the control group did not accept the leave call; send it to another host")
	}
	return nil
}

func (c *Controller) handleHeartbeat(ctx context.Context, _ fleet.HostID, req *controlapi.HeartbeatRequest) (*controlapi.HeartbeatResponse, error) {
	h := req.Heartbeat
	if err := c.admitSoftware(ctx, &h.Instance); err != nil {
		return nil, err
	}
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.validLeadership() == nil {
		return &controlapi.HeartbeatResponse{Reply: c.notLeader()}, nil
	}
	c.work.heartbeats++
	before, _, _ := c.registry.Get(h.Instance.ID)
	v := c.registry.Observe(now, h)
	c.metrics.heartbeats.With(v.String()).Inc(1)
	if v == registry.Full {
		return nil, ErrRejected.New("the registry of backend servers is full; it has room again once records of silent or ended servers are removed")
	}
	if v == registry.Unchanged {
		in, beat, _ := c.registry.Get(h.Instance.ID)
		c.planner.Observe(now, in, beat)
	}
	if v == registry.Changed {
		c.observeChanged(now)
		c.logInstance(before, h.Instance, h.Seq)
		c.publishModels(h.Instance.ID)
		c.notifyChanged()
		c.triggerPlanning()
	}
	return &controlapi.HeartbeatResponse{}, nil
}

func (c *Controller) logInstance(previous, in registry.Instance, seq uint64) {
	c.cfg.Log.Info(logInstance, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
		zap.Uint64("incarnation-before", uint64(previous.Incarnation)), zap.String("service", string(in.Service)),
		zap.String("address", in.Address), zap.String("software", string(in.Software)), zap.Stringer("state", in.State), zap.Uint64("seq", seq))
}

func (c *Controller) handleLeave(_ context.Context, _ fleet.HostID, req *controlapi.LeaveRequest) (*controlapi.HeartbeatResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.validLeadership() == nil {
		return &controlapi.HeartbeatResponse{Reply: c.notLeader()}, nil
	}
	now := c.cfg.Now()
	if c.registry.Leave(now, req.Instance, req.Incarnation) {
		c.observeChanged(now)
		in, _, _ := c.registry.Get(req.Instance)
		c.logInstance(in, in, 0)
		c.notifyChanged()
		c.triggerPlanning()
	}
	return &controlapi.HeartbeatResponse{}, nil
}

// observeChanged passes all changed instances to the planner, including those that another one has displaced; c.mu is held.
func (c *Controller) observeChanged(now time.Time) {
	for _, in := range c.registry.ChangedAfter(c.observedRevision) {
		_, beat, _ := c.registry.Get(in.ID)
		c.planner.Observe(now, in, beat)
	}
	c.observedRevision = c.registry.Revision()
}

// publishModels writes the planner's view of the loaded models of the given engines, or of all engines, to the registry; c.mu is
// held.
func (c *Controller) publishModels(ids ...fleet.BackendID) {
	now := c.cfg.Now()
	if len(ids) == 0 {
		ids = c.planner.Engines()
	}
	changed := false
	for _, id := range ids {
		models, known := c.planner.ServingModels(now, id)
		in, _, ok := c.registry.Get(id)
		changed = known && ok && c.registry.SetModels(id, in.Incarnation, models) || changed
	}
	if changed {
		c.notifyChanged()
	}
}
