package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/registry"
)

// recordArrival counts a request for the demand and for the retry budget.
func (v *View) recordArrival(service fleet.ServiceID, r *balance.Request) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.budget.AddRequest(now, fleet.TenantID(service))
	if v.idleReports {
		// The view of the other hosts' load is old.
		v.idleReports = false
		v.triggerReport()
	}
	if r.Target.Model != "" {
		k := demandKey{service: service, target: r.Target}
		a := v.arrivals[k]
		v.arrivals[k] = arrivals{a.count + 1, a.prompt + r.Prompt}
	}
}

// spendRetry takes one retry from the retry budget and reports whether the budget allowed it.
func (v *View) spendRetry(service fleet.ServiceID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.budget.Spend(time.Now(), fleet.TenantID(service))
}

// selection is the server chosen for a request, with the reasons; the instance is nil if no server can take the request now.
type selection struct {
	instance *registry.Instance
	ticket   *balance.Ticket
	choice   balance.Choice
	// prefixSource is the address of an instance that may have shared parts of the prompt cached, empty if there is none.
	prefixSource string
	// limit is the rate limit of the instance.
	limit fleet.RateLimit
	// isGranted is set if the request may be sent although the instance has a rate limit, after the time sendAt.
	isGranted bool
	sendAt    time.Time
	// changed is closed when another choice may be possible. retryAt is the time at which a rejecting server may be tried again;
	// it is zero if there is none.
	changed <-chan struct{}
	retryAt time.Time
	// pausedUntil is the end of the first pause if all servers that could take the request have asked for one; else it is zero.
	pausedUntil time.Time
	// waiter is the request if it may have to wait for room, isHeld is set if it does, isRefused if there is no room for it in time.
	waiter            *waiter
	isHeld, isRefused bool
	// noServers is set if no server could take the request now or later, since none holds the model or there is none.
	noServers bool
	// sentAt is the time at which the request was begun at the instance.
	sentAt time.Time
	// limitedUntil is the time at which the first server takes a request again if the rate limits of all those that could take it are
	// used up; else it is zero.
	limitedUntil time.Time
}

// pick chooses a server for a request within a constraint. It asks the leader for a long prompt, since this host's knowledge of the
// load of other hosts is older than the time that an engine needs to process such a prompt, and if the best server has a rate limit.
func (v *View) pick(ctx context.Context, service fleet.ServiceID, r *balance.Request, k constraint) selection {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, instances := v.available(service, r, k)
	now := time.Now()
	if len(instances) == 0 {
		if k.waiter != nil && c.noServers && v.loadsTooLong(now, k.waiter) {
			c.isRefused = true
			return c
		}
		if k.waiter != nil && !c.retryAt.IsZero() && c.retryAt.Sub(now) <= busyRetryDelay {
			v.holdPlace(now, service, r, k)
		}
		return c
	}
	instances, candidates, best := v.withRoom(now, r, &c, instances)
	if len(instances) == 0 {
		return c
	}
	isLimited := v.rateLimit(instances[best]).Named
	if !isLimited && (len(instances) < 2 || !r.LongPrompt()) {
		v.begin(now, r, &c, instances, candidates, best)
		return c
	}
	res := v.askLeader(ctx, now, r, instances, candidates, isLimited)
	// The lock was released meanwhile.
	now = time.Now()
	c, instances = v.available(service, r, k)
	if len(instances) > 0 {
		if instances, _, _ = v.withRoom(now, r, &c, instances); len(instances) == 0 {
			return c
		}
	}
	if res != nil && res.Instance != "" {
		i := slices.IndexFunc(instances, func(in *registry.Instance) bool { return in.ID == res.Instance })
		if i >= 0 {
			v.begin(now, r, &c, instances, v.balancer.Candidates(now, r, instances), i)
			c.isGranted, c.sendAt, c.choice.Placed = c.limit.Named, now.Add(res.Delay), true
			return c
		}
	}
	if res != nil && res.RetryIn > 0 {
		c.limitedUntil = now.Add(res.RetryIn)
		return c
	}
	v.pickAlone(now, r, &c, instances)
	return c
}

// pickAlone chooses a server without the leader; v.mu is held. Servers with a rate limit come last, in this host's turns.
func (v *View) pickAlone(now time.Time, r *balance.Request, c *selection, instances []*registry.Instance) {
	unlimited, limited := v.byRateLimit(instances)
	if len(unlimited) > 0 {
		candidates := v.balancer.Candidates(now, r, unlimited)
		v.begin(now, r, c, unlimited, candidates, v.balancer.Draw(candidates))
		c.choice.Candidates = len(instances)
		return
	}
	for _, in := range limited {
		next, ok := v.takeTurn(now, in)
		if ok {
			one := []*registry.Instance{in}
			v.begin(now, r, c, one, v.balancer.Candidates(now, r, one), 0)
			c.isGranted, c.choice.Candidates = true, len(instances)
			return
		}
		if c.limitedUntil.IsZero() || next.Before(c.limitedUntil) {
			c.limitedUntil = next
		}
	}
	// The leader may answer earlier.
	askAgain := now.Add(placeRetryDelay)
	if v.placeNotBefore.After(now) {
		askAgain = v.placeNotBefore
	}
	if askAgain.Before(c.limitedUntil) {
		c.limitedUntil = askAgain
	}
}

// begin begins a request at one of several instances; v.mu is held.
func (v *View) begin(now time.Time, r *balance.Request, c *selection, instances []*registry.Instance, candidates []balance.Candidate, i int) {
	c.instance = instances[i]
	c.ticket, c.choice = v.balancer.Begin(now, r, c.instance, candidates[i])
	c.choice.Candidates = len(instances)
	if in := balance.PrefixSource(r, instances, c.instance); in != nil {
		c.prefixSource = in.Address
	}
	c.limit = v.rateLimit(c.instance)
	if c.waiter != nil {
		v.beginWaiter(now, c.waiter, c.instance.ID)
		c.sentAt = now
	}
	v.holdoffs.Begin(now, c.instance.ID, c.instance.Incarnation)
}

// available returns the servers that can take a request now, and what to wait for if there is none; v.mu is held.
func (v *View) available(service fleet.ServiceID, r *balance.Request, k constraint) (selection, []*registry.Instance) {
	now := time.Now()
	c := selection{changed: v.changed, waiter: k.waiter}
	eligible := v.eligible(now, service, r, k)
	c.noServers = len(eligible) == 0
	c.pausedUntil = v.firstReopening(now, eligible)
	instances := slices.DeleteFunc(eligible, func(in *registry.Instance) bool {
		until, closed := v.closedUntil(now, in, r.Target)
		if closed && (c.retryAt.IsZero() || until.Before(c.retryAt)) {
			c.retryAt = until
		}
		return closed
	})
	return c, instances
}

// closedUntil returns the time until which a server takes no request for a target because of its answers, and whether there is one;
// v.mu is held.
func (v *View) closedUntil(now time.Time, in *registry.Instance, t fleet.Target) (time.Time, bool) {
	state, until := v.holdoffs.State(now, in.ID, in.Incarnation)
	rejected := v.rejections[rejectionKey{in.ID, in.Incarnation, t}]
	if rejected.After(until) {
		until = rejected
	}
	return until, state != holdoff.Open || now.Before(rejected)
}

// rejectionKey is a target that an incarnation of a server has rejected.
type rejectionKey struct {
	instance    fleet.BackendID
	incarnation fleet.Incarnation
	target      fleet.Target
}

// recordRejection records that a server has rejected requests for a target, so that none are sent there for d.
func (v *View) recordRejection(in *registry.Instance, t fleet.Target, d time.Duration) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.rejections) >= maxRejections {
		maps.DeleteFunc(v.rejections, func(_ rejectionKey, until time.Time) bool { return now.After(until) })
	}
	if len(v.rejections) < maxRejections {
		v.rejections[rejectionKey{in.ID, in.Incarnation, t}] = now.Add(d)
	}
}

// otherServerExists reports whether a server can take a request within a constraint now, as far as its notices say.
func (v *View) otherServerExists(service fleet.ServiceID, r *balance.Request, k constraint) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(v.eligible(now, service, r, k), func(in *registry.Instance) bool {
		state, _ := v.holdoffs.State(now, in.ID, in.Incarnation)
		return state == holdoff.Open
	})
}

// eligible returns the servers that can take a request now or later; v.mu is held.
func (v *View) eligible(now time.Time, service fleet.ServiceID, r *balance.Request, k constraint) []*registry.Instance {
	var out []*registry.Instance
	for _, in := range v.instances {
		if in.Service != service || in.State != registry.Ready || k.excluded[in.ID] || !k.allowsSoftware(in.Software) || !r.Plain && !in.Serves(r.Target) ||
			k.unlimited && v.rateLimit(in).Named {
			continue
		}
		if state, _ := v.holdoffs.State(now, in.ID, in.Incarnation); state != holdoff.Leaving {
			out = append(out, in)
		}
	}
	return out
}

// registerWaiting registers a request as waiting for a server until the returned function is called.
func (v *View) registerWaiting(service fleet.ServiceID, priority int, t fleet.Target, c constraint) func() {
	k := demandKey{service: service, target: t}
	if c.software != nil {
		k.software = *c.software
	}
	v.mu.Lock()
	w := v.waiting[k]
	if w == nil {
		w = &waitingRequests{topPriority: priority}
		v.waiting[k] = w
	}
	w.count++
	w.topPriority = min(w.topPriority, priority)
	v.mu.Unlock()
	v.triggerReport()
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if w.count--; w.count == 0 {
			delete(v.waiting, k)
		}
	}
}

func (v *View) firstByte(t *balance.Ticket) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.balancer.FirstByte(time.Now(), t)
}

// endRequest records the end of a request at the chosen server.
func (v *View) endRequest(c *selection, o balance.Outcome) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.balancer.End(now, c.ticket, o)
	if w := c.waiter; w != nil {
		v.policy.End(w.req.Service, w.req.Priority, c.instance.ID, now.Sub(c.sentAt), o == balance.Answered)
	}
	v.wakeFirst(now, c.instance.ID)
}
