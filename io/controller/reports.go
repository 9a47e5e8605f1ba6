package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/io/controlapi"
)

func (c *Controller) handleReport(_ context.Context, from fleet.HostID, req *controlapi.ReportRequest) (*controlapi.ReportResponse, error) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.validLeadership() == nil {
		return &controlapi.ReportResponse{Reply: c.notLeader()}, nil
	}
	c.work.reports++
	e := c.entries[from]
	if e == nil {
		e = &entry{}
		c.entries[from] = e
	}
	if e.Entry != req.Entry || e.ready != req.Ready {
		c.entryRevision++
		c.cfg.Log.Info(logEntry, zap.String("entry", string(from)), zap.Bool("ready", req.Ready), zap.String("address", req.Entry.Address))
		defer c.notifyEntriesChanged()
	}
	c.setLoads(e, req.Loads)
	c.setWaiting(e, req.Waiting)
	c.recordSpeeds(req.Loads)
	c.recordLeaving(now, from, req.Leaving...)
	c.recordLimits(now, from, req.Limits)
	e.Entry, e.ready, e.reportedAt = req.Entry, req.Ready, now
	e.interval = c.reportInterval(e)
	c.planner.UpdateDemand(now, from, req.Demands)
	var expected []controlapi.ExpectedLoad
	for _, d := range req.Demands {
		if d.Waiting == 0 {
			continue
		}
		c.triggerPlanning()
		if in, ok := c.planner.LoadExpected(now, d.Service, d.Target.Model); ok {
			expected = append(expected, controlapi.ExpectedLoad{Service: d.Service, Model: d.Target.Model, In: in})
		}
	}
	loads, held := c.otherHostsLoads(req.Loads)
	return &controlapi.ReportResponse{
		Loads: loads, Held: held, Ratios: c.unusualSpeeds(), Waiting: c.otherHostsWaiting(e.waiting), Expected: expected, Entries: len(c.entries), Interval: e.interval, Crashes: c.observeCrashes(now, req.Crashes),
	}, nil
}

// reportInterval returns the interval of an entry host's reports; c.mu is held. Hosts without requests in flight report rarely, so
// that the others can report often.
func (c *Controller) reportInterval(e *entry) time.Duration {
	if len(e.loads) == 0 {
		return maxReportInterval
	}
	return min(max(minReportInterval, reportIntervalPerHost*time.Duration(c.busyEntries)), maxReportInterval)
}

// updateDirectorySize adapts the number of entry hosts that callers are told of to the load; c.mu is held.
func (c *Controller) updateDirectorySize() {
	inFlight := map[fleet.DataCentre]int{}
	busiest := 0
	for _, e := range c.entries {
		for _, l := range e.loads {
			inFlight[e.DataCentre] += l.Active
		}
		busiest = max(busiest, inFlight[e.DataCentre])
	}
	if c.directorySize.Update(busiest) {
		c.entryRevision++
		c.cfg.Log.Info(logDirectory, zap.Int("hosts-per-data-centre", c.directorySize.Hosts()), zap.Int("busiest-in-flight", busiest))
		c.notifyEntriesChanged()
	}
}

// expireEntries drops entry hosts that no longer report; c.mu is held.
func (c *Controller) expireEntries(now time.Time) {
	for h, e := range c.entries {
		if now.Sub(e.reportedAt) > (1+maxMissedReports)*e.interval+reportSlack {
			c.setLoads(e, nil)
			c.setWaiting(e, nil)
			delete(c.entries, h)
			// Its requests no longer wait.
			c.planner.UpdateDemand(now, h, nil)
			c.entryRevision++
			c.cfg.Log.Info(logEntry, zap.String("entry", string(h)), zap.Bool("ready", false), zap.Duration("silent-ms", now.Sub(e.reportedAt)))
			c.notifyEntriesChanged()
		}
	}
}
