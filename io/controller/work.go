package controller

import (
	"time"

	"go.uber.org/zap"
)

// logWork is the message of the line that tells what a leader has answered, by kind of call.
const logWork = "calls answered as leader"

// workInterval is the interval of these lines.
const workInterval = 2 * time.Second

// workCount counts the calls that this host has answered as leader since startedAt; it is guarded by Controller.mu.
type workCount struct {
	startedAt time.Time
	// changes is the number of answers that told a follower of changes, configurations that of answers with a configuration.
	changes, configurations                       int
	reports, places, heartbeats, renewals, quotas int
	// redirections is the number of entry hosts that were told to follow a mirror.
	redirections int
	// searches is the number of questions whether this host leads, notifications the number of times that followers were woken.
	searches, planningPasses, notifications int
}

// logWorkDone writes the line and begins a new count; c.mu is held.
func (c *Controller) logWorkDone(now time.Time) {
	w := c.work
	if now.Sub(w.startedAt) < workInterval {
		return
	}
	c.work = workCount{startedAt: now}
	if w.startedAt.IsZero() {
		return
	}
	c.cfg.Log.Info(logWork, zap.Duration("within-ms", now.Sub(w.startedAt)), zap.Int("changes", w.changes),
		zap.Int("configurations", w.configurations), zap.Int("redirections", w.redirections), zap.Int("reports", w.reports), zap.Int("places", w.places),
		zap.Int("heartbeats", w.heartbeats), zap.Int("renewals", w.renewals), zap.Int("quotas", w.quotas), zap.Int("searches", w.searches),
		zap.Int("planning-passes", w.planningPasses), zap.Int("notifications", w.notifications),
		zap.Int("entry-hosts", len(c.entries)), zap.Int("busy-entry-hosts", c.busyEntries))
}
