package controller

import (
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/holdoff"
)

// observeNotice records what an engine's answer to this host says about further requests; c.mu is held.
func (c *Controller) observeNotice(now time.Time, id fleet.BackendID, inc fleet.Incarnation, n holdoff.Notice) {
	change := c.holdoffs.Observe(now, id, inc, n)
	if !change.PausedUntil.IsZero() {
		c.cfg.Log.Info(logPaused, zap.String("instance", string(id)), zap.Uint64("incarnation", uint64(inc)),
			zap.Duration("asked-ms", n.Pause), zap.Duration("until-ms", change.PausedUntil.Sub(now)))
	}
	if n.Leaving && c.validLeadership() != nil {
		c.recordLeaving(now, c.cfg.Self, fleet.BackendIncarnation{Backend: id, Incarnation: inc})
	}
}

// applyPauses tells the planner of the engines that want no orders and requests for reports now; c.mu is held. It is called before
// each plan, since a new leadership begins with a new planner.
func (c *Controller) applyPauses(now time.Time) {
	for paused, until := range c.holdoffs.Paused(now) {
		if in, _, _ := c.registry.Get(paused.Backend); in.Incarnation == paused.Incarnation {
			c.planner.Pause(paused.Backend, until)
		}
	}
}
