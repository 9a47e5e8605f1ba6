package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// observeLimit records what an answer of a server says about its rate limit. Only a signed answer to this request shows that a limit has
// ended, since others may be older than the limit or not the server's.
func (x *exchange) observeLimit(in *registry.Instance, a AnswerInfo, sent time.Time) {
	if !a.Limit.Named && (!a.Signed || a.ID != x.info.ID) {
		return
	}
	if x.proxy.view.observeLimit(in, a, sent) {
		x.proxy.metrics.notices.With("rate-limit").Inc(1)
	}
}

// observeLimit records what the answer to a request that was sent at a time says about the server's rate limit, and reports whether that
// is news.
func (v *View) observeLimit(in *registry.Instance, a AnswerInfo, sent time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if in = v.instanceOf(in, a); in == nil {
		return false
	}
	now, b := time.Now(), incarnationOf(in)
	known, before := v.toldLimit(in), v.rateLimit(in)
	if !v.limitNotices.Observe(now, sent, b, a.Limit, known) {
		return false
	}
	v.cfg.Log.Info(logLimit, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
		zap.Stringer("per-second", a.Limit), zap.Stringer("before", before), zap.Duration("sent-ms", now.Sub(sent)))
	v.triggerReport()
	return true
}

// keepLimits keeps the rate limits that the control group has told of so far, since a new leader need not know them; v.mu is held.
func (v *View) keepLimits() {
	asOf := time.Now().Add(-v.cfg.Now().Sub(v.confirmedAt))
	for _, in := range v.instances {
		v.limitNotices.Keep(asOf, incarnationOf(in), in.Limit)
	}
}

// rateLimit returns the rate limit of a server as far as this host knows; v.mu is held.
func (v *View) rateLimit(in *registry.Instance) fleet.RateLimit {
	return v.limitNotices.Limit(incarnationOf(in), v.toldLimit(in))
}

// toldLimit returns the rate limit of a server as the control group has told it; v.mu is held. The record of the server may be older.
func (v *View) toldLimit(in *registry.Instance) fleet.RateLimit {
	if now := v.instances[in.ID]; now != nil && now.Incarnation == in.Incarnation {
		return now.Limit
	}
	return in.Limit
}

func incarnationOf(in *registry.Instance) fleet.BackendIncarnation {
	return fleet.BackendIncarnation{Backend: in.ID, Incarnation: in.Incarnation}
}

// unreportedLimits returns what servers have said about their rate limits and the leader hasn't confirmed; v.mu is held.
func (v *View) unreportedLimits(now time.Time) []controlapi.LimitNotice {
	var out []controlapi.LimitNotice
	for b, n := range v.limitNotices.All() {
		if in := v.instances[b.Backend]; in != nil && in.Incarnation == b.Incarnation {
			out = append(out, controlapi.LimitNotice{Backend: b.Backend, Incarnation: b.Incarnation, Limit: n.Limit, Age: now.Sub(n.At)})
		}
	}
	return out
}

// byRateLimit returns the instances without a rate limit and those with one; v.mu is held.
func (v *View) byRateLimit(instances []*registry.Instance) (unlimited, limited []*registry.Instance) {
	for _, in := range instances {
		if v.rateLimit(in).Named {
			limited = append(limited, in)
		} else {
			unlimited = append(unlimited, in)
		}
	}
	return unlimited, limited
}

// takeTurn reports whether it is this host's turn to send a request to a server with a rate limit, and returns the time of its next turn
// otherwise; v.mu is held. A host that doesn't know how many others there are has no turns.
func (v *View) takeTurn(now time.Time, in *registry.Instance) (time.Time, bool) {
	if v.entryHosts == 0 {
		return now.Add(placeRetryDelay), false
	}
	return v.turns.Take(now, incarnationOf(in), v.rateLimit(in), v.entryHosts, rand.Float64())
}

// nextTry returns the time at which another choice may be possible without a change; it is zero if there is none.
func (c *selection) nextTry() time.Time {
	if c.retryAt.IsZero() || !c.limitedUntil.IsZero() && c.limitedUntil.Before(c.retryAt) {
		return c.limitedUntil
	}
	return c.retryAt
}

// latestStart returns the time until which a server with a rate limit may make the request wait, so that its answer can still be on time.
func (x *exchange) latestStart() time.Time {
	at := x.began.Add(orDefault(x.route.Objective, x.route.Timeout/2))
	if x.deadline.Before(at) {
		return x.deadline
	}
	return at
}

// isLimited reports whether the request should be refused now, since the servers that can take it have used up their rate limits for longer
// than it should wait.
func (x *exchange) isLimited(c *selection) bool {
	return !c.limitedUntil.IsZero() && c.nextTry().After(x.req.LatestStart)
}

// awaitGrant waits until the request may be sent to a server with a rate limit.
func (x *exchange) awaitGrant(c *selection) error {
	if c.sendAt.IsZero() || pause.Until(x.ctx, c.sendAt) == nil {
		return nil
	}
	x.proxy.view.endRequest(c, balance.Withdrawn)
	return x.ctx.Err()
}
