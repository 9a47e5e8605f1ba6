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

func (c *Controller) handleHeartbeat(ctx context.Context, _ fleet.HostID, req *controlapi.HeartbeatRequest) (*controlapi.HeartbeatResponse, error) {
	h := req.Heartbeat
	if err := c.admitSoftware(ctx, &h.Instance); err != nil {
		return nil, err
	}
	res, err := c.observeHeartbeat(h)
	if err == nil && res.Reply.Status == hosts.StatusOK && h.Instance.State != registry.Ready {
		err = c.commitDeparture(ctx, h.Instance)
	}
	return res, err
}

// observeHeartbeat processes a heartbeat if this host leads.
func (c *Controller) observeHeartbeat(h registry.Heartbeat) (*controlapi.HeartbeatResponse, error) {
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
