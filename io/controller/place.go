package controller

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/io/controlapi"
)

// handlePlace chooses among the servers that can take a request of an entry host, and adds the request to the server's load.
func (c *Controller) handlePlace(_ context.Context, from fleet.HostID, req *controlapi.PlaceRequest) (*controlapi.PlaceResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.validLeadership() == nil {
		return &controlapi.PlaceResponse{Reply: c.notLeader()}, nil
	}
	c.work.places++
	e := c.entries[from]
	if e == nil {
		if !c.anyLimited(req) {
			return &controlapi.PlaceResponse{}, nil
		}
		// The host has not reported to this leader yet, so that its load is added to an entry that lasts for this call.
		e = &entry{}
		defer func() { c.setLoads(e, nil) }()
	}
	now := c.cfg.Now()
	candidates, retryIn := c.withinLimits(now, req)
	if len(candidates) == 0 {
		return &controlapi.PlaceResponse{RetryIn: retryIn}, nil
	}
	// The costs already include the host's own requests.
	loads := e.loads
	c.setLoads(e, nil)
	best := candidates[balance.Best(candidates, func(id fleet.BackendID) balance.TotalLoad { return c.loads[id] })]
	c.setLoads(e, append(loads, controlapi.Load{Instance: best.Instance, Active: 1, Prompt: best.Tokens, Held: best.Need}))
	return &controlapi.PlaceResponse{Instance: best.Instance, Delay: c.grant(now, req, best.Instance)}, nil
}

// anyLimited reports whether one of the candidates has a rate limit; c.mu is held.
func (c *Controller) anyLimited(req *controlapi.PlaceRequest) bool {
	return slices.ContainsFunc(req.Candidates, func(o controlapi.Candidate) bool {
		_, l := c.rateLimit(&o)
		return l.Named
	})
}

// withinLimits returns the candidates whose rate limits let the request wait for MaxDelay at most, with the wait in their cost. If there is
// none, it returns the time after which one of them takes a request; c.mu is held.
func (c *Controller) withinLimits(now time.Time, req *controlapi.PlaceRequest) (candidates []balance.Candidate, retryIn time.Duration) {
	for i, o := range req.BalanceCandidates() {
		b, l := c.rateLimit(&req.Candidates[i])
		delay := c.limits.Delay(now, b, l)
		if delay <= req.MaxDelay {
			o.Cost += delay
			candidates = append(candidates, o)
		} else if retryIn == 0 || delay < retryIn {
			retryIn = delay
		}
	}
	return candidates, retryIn
}

// grant uses the rate limit of the chosen server, and returns the time after which the request may be sent; c.mu is held.
func (c *Controller) grant(now time.Time, req *controlapi.PlaceRequest, id fleet.BackendID) time.Duration {
	for i := range req.Candidates {
		if req.Candidates[i].Instance == id {
			b, l := c.rateLimit(&req.Candidates[i])
			delay := c.limits.Delay(now, b, l)
			c.limits.Take(now, b, l)
			return delay
		}
	}
	return 0
}

// rateLimit returns the incarnation of a candidate and its rate limit; c.mu is held. The host may know of a limit before its report
// arrives.
func (c *Controller) rateLimit(o *controlapi.Candidate) (fleet.BackendIncarnation, fleet.RateLimit) {
	in, _, _ := c.registry.Get(o.Instance)
	b := fleet.BackendIncarnation{Backend: in.ID, Incarnation: in.Incarnation}
	if !in.Limit.Named && o.Limit.Named && o.Incarnation >= in.Incarnation {
		return fleet.BackendIncarnation{Backend: o.Instance, Incarnation: o.Incarnation}, o.Limit
	}
	return b, in.Limit
}

// recordLimits records what servers have told an entry host about their rate limits, unless something newer is known; c.mu is held.
func (c *Controller) recordLimits(now time.Time, told fleet.HostID, list []controlapi.LimitNotice) {
	changed := false
	for _, n := range list {
		b, at := fleet.BackendIncarnation{Backend: n.Backend, Incarnation: n.Incarnation}, now.Add(-n.Age)
		if !c.isNewLimit(b, n.Limit, at) || !c.registry.SetLimit(b, n.Limit) {
			continue
		}
		changed = true
		c.limitsAt.Put(b, at)
		c.cfg.Log.Info(logLimit, zap.String("instance", string(n.Backend)), zap.Uint64("incarnation", uint64(n.Incarnation)),
			zap.Stringer("per-second", n.Limit), zap.String("told", string(told)), zap.Duration("age-ms", n.Age))
	}
	if changed {
		c.notifyChanged()
	}
}

// isNewLimit reports whether nothing newer is known than what a server has said at a time about its rate limit; c.mu is held.
func (c *Controller) isNewLimit(b fleet.BackendIncarnation, l fleet.RateLimit, at time.Time) bool {
	if last := c.limitsAt.Get(b); last != nil {
		return at.After(*last)
	}
	// A limit that the leader before has heard of may be newer than an end from before this leadership.
	return l.Named || at.After(c.leadership.since)
}
