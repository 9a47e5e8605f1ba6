package controller

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanway/core/catalog"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/residency"
)

// plan carries out the planner's decisions while this host leads.
func (c *Controller) plan(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	t := time.NewTimer(planInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return eg.Wait()
		case <-t.C:
		case <-c.kick:
		}
		began := time.Now()
		for _, a := range c.next(ctx) {
			eg.Go(func() error {
				c.carryOut(ctx, a)
				return nil
			})
		}
		// Where a look is dear there are fewer of them, however often one is asked for.
		if pause.For(ctx, planRest*time.Since(began)) != nil {
			return eg.Wait()
		}
		t.Reset(planInterval)
	}
}

// next returns what is to be done now, nothing while this host may not order engines.
func (c *Controller) next(ctx context.Context) []residency.Action {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.leading()
	if r == nil {
		return nil
	}
	c.expireEntries(now)
	for _, id := range c.registry.Tick(now) {
		c.cfg.Log.Warn(logSilent, zap.String("instance", string(id)))
		c.announce()
	}
	c.observe(now)
	c.configure(c.state())
	if now.Sub(c.published) >= publishInterval {
		c.published = now
		c.publish()
	}
	if now.Before(r.ordersFrom) {
		return c.planner.Probes(now)
	}
	if !r.ordering {
		c.claim(ctx, r)
		return nil
	}
	loads := c.engineLoads()
	for _, id := range c.planner.Engines() {
		c.planner.UpdateLoad(id, loads[id].running, loads[id].suspect)
	}
	actions := c.planner.Next(now)
	for _, a := range actions {
		c.publish(a.Subject())
	}
	return actions
}

// claim records in the log that this host orders the engines; c.mu is held and let go of meanwhile.
func (c *Controller) claim(ctx context.Context, r *reign) {
	data, err := catalog.Encode(catalog.Command{SetOrderer: &catalog.SetOrderer{Host: c.cfg.Self}})
	if err != nil {
		c.cfg.Log.Error(logOrder, zap.Error(err))
		return
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	_, err = c.cfg.Group.Propose(ctx, data)
	cancel()
	c.mu.Lock()
	if err == nil && c.reign == r {
		r.ordering = true
		c.noteOrdering(true)
		c.hurry()
	}
}

// noteOrdering notes for the next start whether this host orders engines; c.mu is held.
func (c *Controller) noteOrdering(ordering bool) {
	if c.cfg.Ordering == nil {
		return
	}
	if err := c.cfg.Ordering(ordering); err != nil {
		c.cfg.Log.Warn(logNote, zap.Error(err))
	}
}

// carryOut performs an action and tells the planner its outcome.
func (c *Controller) carryOut(ctx context.Context, a residency.Action) {
	switch a := a.(type) {
	case residency.Order:
		c.order(ctx, a)
	case residency.Probe:
		c.probe(ctx, a)
	default:
		panic("controller: unknown action of the planner")
	}
	c.mu.Lock()
	c.publish(a.Subject())
	c.mu.Unlock()
	c.hurry()
}

func (c *Controller) order(ctx context.Context, o residency.Order) {
	if o.Kind == fleet.OrderUnload {
		// Entry hosts stop sending requests for the model first.
		_ = pause.For(ctx, unloadNotice)
	}
	began := c.cfg.Now()
	out := residency.Unreachable
	c.mu.Lock()
	r := c.leading()
	c.mu.Unlock()
	if r != nil && r.ordering {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		out = c.cfg.Engines.Order(call, o, fleet.Fence(r.term), c.cfg.Self)
		cancel()
	}
	now := c.cfg.Now()
	c.mu.Lock()
	c.planner.HandleOutcome(now, o, out)
	c.mu.Unlock()
	c.count.orders.With(string(o.Kind), out.String()).Inc(1)
	c.cfg.Log.Info(logOrder, zap.String("instance", string(o.Engine)), zap.String("order", string(o.Kind)),
		zap.String("model", string(o.Target.Model)), zap.String("adapter", string(o.Target.Adapter)),
		zap.Int64("expected", o.Expected), zap.Bool("store", o.Store), zap.String("reason", o.Reason),
		zap.Stringer("outcome", out), zap.Duration("took-ms", now.Sub(began)))
	if out == residency.Accepted && o.Kind == fleet.OrderLoadAdapter {
		_ = pause.For(ctx, residency.AdapterLoadTime)
	}
}

func (c *Controller) probe(ctx context.Context, p residency.Probe) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	rep, err := c.cfg.Engines.Report(call, p)
	cancel()
	now := c.cfg.Now()
	c.mu.Lock()
	if err != nil {
		c.planner.HandleProbeFailure(now, p)
	} else {
		c.planner.HandleReport(now, p, rep)
	}
	c.mu.Unlock()
	c.count.probes.Inc(1)
	c.cfg.Log.Info(logReport, zap.String("instance", string(p.Engine)), zap.Int64("accepted", rep.Accepted), zap.Bool("busy", rep.Busy),
		zap.Int("models", len(rep.Models)), zap.Error(err))
}
