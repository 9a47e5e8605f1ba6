package controller

import (
	"time"

	"go.uber.org/zap"

	"toucanway/core/crashes"
)

// Log messages of decisions on contents that may crash backend servers.
const (
	logContentSuspected = "content of requests suspected of crashing backend servers"
	logContentListed    = "content of requests crashes backend servers and is refused"
	logContentTried     = "one request of refused content is let through"
	logContentCleared   = "content of requests no longer suspected or refused"
	logContentExpired   = "content of requests no longer refused; no request came for a trial"
)

// observeCrashes passes the report of an entry host to the detector and returns what the host has to know, or nil; c.mu is held.
func (c *Controller) observeCrashes(now time.Time, r *crashes.Report) *crashes.State {
	if r != nil {
		c.metrics.crashReports.Inc(int64(len(r.Crashes)))
	}
	before := c.detector.ListRevision()
	defer c.notifyListed(before)
	return c.detector.Handle(now, r)
}

// notifyListed wakes the calls of entry hosts that wait for changes if the list has changed since a revision, since their next
// reports can be seconds away when the leader is busy; c.mu is held.
func (c *Controller) notifyListed(before uint64) {
	if c.detector.ListRevision() != before {
		c.notifyChanged()
	}
}

// tickDetector applies what has become due in the detector and logs its decisions; c.mu is held.
func (c *Controller) tickDetector(now time.Time) {
	before := c.detector.ListRevision()
	c.logContentChanges(c.detector.Tick(now))
	c.notifyListed(before)
}

// logContentChanges writes one log line for each decision of the detector.
func (c *Controller) logContentChanges(changes []crashes.Change) {
	for _, change := range changes {
		switch change := change.(type) {
		case crashes.Suspected:
			c.metrics.contents.With("suspected").Inc(1)
			c.cfg.Log.Info(logContentSuspected, zap.Stringer("content", change.Content), zap.Int("crashes", change.Crashes))
		case crashes.Listed:
			c.metrics.contents.With("listed").Inc(1)
			c.cfg.Log.Warn(logContentListed, zap.Stringers("contents", change.Contents), zap.Int("crashes", change.Crashes))
		case crashes.Tried:
			c.metrics.contents.With("tried").Inc(1)
			c.cfg.Log.Info(logContentTried, zap.Stringers("contents", change.Contents))
		case crashes.Cleared:
			c.metrics.contents.With("cleared").Inc(1)
			c.cfg.Log.Info(logContentCleared, zap.Stringer("content", change.Content))
		case crashes.Expired:
			c.metrics.contents.With("expired").Inc(1)
			c.cfg.Log.Info(logContentExpired, zap.Stringers("contents", change.Contents))
		default:
			panic("unknown change of the detector")
		}
	}
}
