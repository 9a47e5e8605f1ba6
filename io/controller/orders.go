package controller

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/catalog"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/pause"
	"toucanway/core/raft"
	"toucanway/core/residency"
	"toucanway/io/logs"
)

// planLoop runs the planner and carries out its actions while this host leads.
func (c *Controller) planLoop(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	t := time.NewTimer(planInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return eg.Wait()
		case <-t.C:
		case <-c.planNow:
		}
		began := time.Now()
		actions := c.nextActions(ctx)
		c.removeUnused(ctx)
		for _, a := range actions {
			eg.Go(func() error {
				c.execute(ctx, a)
				return nil
			})
		}
		// The rest limits the share of time spent on planning, however often a pass is requested.
		if pause.For(ctx, planRestFactor*time.Since(began)) != nil {
			return eg.Wait()
		}
		t.Reset(planInterval)
	}
}

// removeUnused removes what is no longer needed from the record while this host leads.
func (c *Controller) removeUnused(ctx context.Context) {
	now := c.cfg.Now()
	c.mu.Lock()
	if c.validLeadership() == nil || now.Sub(c.recordCheckedAt) < recordCheckInterval {
		c.mu.Unlock()
		return
	}
	c.recordCheckedAt = now
	software, departures := c.unusedSoftware(now), c.expiredDepartures(now)
	c.mu.Unlock()
	c.removeSoftware(ctx, software)
	c.removeDepartures(ctx, departures)
}

// nextActions returns the actions that are due: only probes before ordersFrom, and none while this host doesn't lead.
func (c *Controller) nextActions(ctx context.Context) []residency.Action {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.validLeadership()
	if r == nil {
		return nil
	}
	c.work.planningPasses++
	c.logWorkDone(now)
	c.expireEntries(now)
	c.expireMirrors(now)
	c.updateDirectorySize()
	for _, id := range c.registry.Tick(now) {
		c.cfg.Log.Warn(logSilent, zap.String("instance", string(id)))
		c.notifyChanged()
	}
	c.tickDetector(now)
	c.observeChanged(now)
	c.applyPauses(now)
	c.configure(c.state())
	c.tickQuotas(now, r.quotas)
	if now.Sub(c.publishedAt) >= publishInterval {
		c.publishedAt = now
		c.publishModels()
	}
	if now.Before(r.ordersFrom) {
		return c.planner.Probes(now)
	}
	if !r.isOrderer {
		c.becomeOrderer(ctx, r)
		return nil
	}
	loads := c.engineLoads()
	for _, id := range c.planner.Engines() {
		c.planner.UpdateLoad(id, loads[id].inFlight, loads[id].suspect)
	}
	actions := c.planner.Next(now)
	for _, a := range actions {
		c.publishModels(a.EngineID())
	}
	return actions
}

// becomeOrderer records in the log that this host sends the orders to the engines; c.mu is held, but released meanwhile.
func (c *Controller) becomeOrderer(ctx context.Context, r *leadership) {
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	err := c.propose(ctx, catalog.Command{SetOrderer: &catalog.SetOrderer{Host: c.cfg.Self}})
	cancel()
	c.mu.Lock()
	if err == nil && c.leadership == r {
		r.isOrderer = true
		c.saveIsOrderer(true)
		c.triggerPlanning()
	}
}

// saveIsOrderer stores for the next start whether this host sends the orders to the engines; c.mu is held.
func (c *Controller) saveIsOrderer(isOrderer bool) {
	if c.cfg.SaveIsOrderer == nil {
		return
	}
	if err := c.cfg.SaveIsOrderer(isOrderer); err != nil {
		c.cfg.Log.Warn(logSaveIsOrderer, zap.Error(err))
	}
}

// execute performs an action and passes the outcome to the planner.
func (c *Controller) execute(ctx context.Context, a residency.Action) {
	switch a := a.(type) {
	case residency.Order:
		c.sendOrder(ctx, a)
	case residency.Probe:
		c.sendProbe(ctx, a)
	default:
		panic("controller: unknown action of the planner")
	}
	c.mu.Lock()
	c.publishModels(a.EngineID())
	c.mu.Unlock()
	c.triggerPlanning()
}

func (c *Controller) sendOrder(ctx context.Context, o residency.Order) {
	if o.Kind == fleet.OrderUnload {
		// The entry hosts must learn of the unload first, so that they send no more requests for the model.
		_ = pause.For(ctx, unloadNotice)
	}
	began := c.cfg.Now()
	out, notice := residency.Unreachable, holdoff.Notice{}
	if term, ok := c.orderTerm(); ok {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		out, notice = c.cfg.Engines.Order(call, o, fleet.Fence(term), c.cfg.Self, func() bool {
			now, ok := c.orderTerm()
			return ok && now == term && c.isReady(o.Engine, o.Incarnation)
		})
		cancel()
	}
	now := c.cfg.Now()
	c.mu.Lock()
	c.planner.HandleOutcome(now, o, out)
	c.observeNotice(now, o.Engine, o.Incarnation, notice)
	c.mu.Unlock()
	c.metrics.orders.With(string(o.Kind), out.String()).Inc(1)
	c.cfg.Log.Info(logOrder, zap.String("instance", string(o.Engine)), zap.String("order", string(o.Kind)),
		zap.String("model", string(o.Target.Model)), zap.String("adapter", string(o.Target.Adapter)),
		zap.Int64("expected", o.Expected), zap.Bool("store", o.FromStore), zap.String("reason", o.Reason),
		zap.Stringer("outcome", out), zap.Duration("took-ms", now.Sub(began)))
	if out == residency.Accepted && o.Kind == fleet.OrderLoadAdapter {
		_ = pause.For(ctx, residency.AdapterLoadTime)
	}
}

// orderTerm returns the term under which this host may order engines now, or false if it may not.
func (c *Controller) orderTerm() (raft.Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.validLeadership()
	if r == nil || !r.isOrderer {
		return 0, false
	}
	return r.term, true
}

func (c *Controller) sendProbe(ctx context.Context, p residency.Probe) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	rep, notice, err := c.cfg.Engines.Report(call, p)
	cancel()
	now := c.cfg.Now()
	c.mu.Lock()
	if err != nil {
		c.planner.HandleProbeFailure(now, p)
	} else {
		c.planner.HandleReport(now, p, rep)
	}
	c.observeNotice(now, p.Engine, p.Incarnation, notice)
	c.mu.Unlock()
	c.metrics.probes.Inc(1)
	c.cfg.Log.Info(logReport, zap.String("instance", string(p.Engine)), zap.Int64("accepted", rep.Accepted), zap.Bool("busy", rep.Busy),
		zap.Int("models", len(rep.Models)), logs.ErrorField(err))
}
