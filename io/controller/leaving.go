package controller

import (
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// recordLeaving marks incarnations of backend servers as draining that have told a host that they leave; c.mu is held. All entry
// hosts learn of it, and the planner gives such an engine no more orders and loads its models elsewhere.
func (c *Controller) recordLeaving(now time.Time, told fleet.HostID, list ...fleet.BackendIncarnation) {
	changed := false
	for _, l := range list {
		if c.registry.Drain(l.Backend, l.Incarnation) {
			changed = true
			c.cfg.Log.Info(logLeaving, zap.String("instance", string(l.Backend)), zap.Uint64("incarnation", uint64(l.Incarnation)),
				zap.String("told", string(told)))
		}
	}
	if changed {
		c.observeChanged(now)
		c.notifyChanged()
		c.triggerPlanning()
	}
}

// isReady reports whether an incarnation of a backend server is known and doesn't leave.
func (c *Controller) isReady(id fleet.BackendID, inc fleet.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	in, _, ok := c.registry.Get(id)
	return ok && in.Incarnation == inc && in.State == registry.Ready
}
