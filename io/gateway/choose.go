package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

// arrive counts a request for the demand and for the budget of repeats.
func (v *View) arrive(service fleet.ServiceID, r *balance.Request) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.budget.Request(now, fleet.TenantID(service))
	if r.Target.Model != "" {
		k := demandKey{service, r.Target}
		a := v.arrivals[k]
		v.arrivals[k] = arrivals{a.count + 1, a.prompt + r.Prompt}
	}
}

// spend takes one repeat of the budget and says whether there was one.
func (v *View) spend(service fleet.ServiceID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.budget.Spend(time.Now(), fleet.TenantID(service))
}

// chosen is the server of a request with the reasons for it; the instance is nil if none can serve the request now.
type chosen struct {
	instance *registry.Instance
	ticket   *balance.Ticket
	choice   balance.Choice
	// changed is closed when another choice may be possible, and after is when one certainly may be; it is zero if unknown.
	changed <-chan struct{}
	after   time.Time
}

// pick chooses a server for a request, other than those in not. The leader is asked where a long prompt goes, since what this host
// knows of the others is older than it takes to read one.
func (v *View) pick(ctx context.Context, service fleet.ServiceID, r *balance.Request, not map[fleet.BackendID]bool) chosen {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, options := v.free(service, r, not)
	if id := v.place(ctx, r, options); id != "" {
		// The lock was let go of meanwhile.
		c, options = v.free(service, r, not)
		i := slices.IndexFunc(options, func(in *registry.Instance) bool { return in.ID == id })
		if i >= 0 {
			now := time.Now()
			c.instance = options[i]
			c.ticket, c.choice = v.balancer.Begin(now, r, c.instance, v.balancer.Candidates(now, r, options)[i])
			c.choice.Candidates, c.choice.Placed = len(options), true
			return c
		}
	}
	c.instance, c.ticket, c.choice = v.balancer.Pick(time.Now(), r, options)
	return c
}

// free returns the servers that can take a request now, and what is to be waited for if there is none; v.mu is held.
func (v *View) free(service fleet.ServiceID, r *balance.Request, not map[fleet.BackendID]bool) (chosen, []*registry.Instance) {
	now := time.Now()
	c := chosen{changed: v.changed}
	options := slices.DeleteFunc(v.options(service, r, not), func(in *registry.Instance) bool {
		until, ok := v.lacks[lackKey{in.ID, in.Incarnation, r.Target}]
		if !ok || !now.Before(until) {
			return false
		}
		if c.after.IsZero() || until.Before(c.after) {
			c.after = until
		}
		return true
	})
	return c, options
}

// lackKey is a target that an incarnation of a server has rejected.
type lackKey struct {
	instance    fleet.BackendID
	incarnation fleet.Incarnation
	target      fleet.Target
}

// lack notes that a server rejected requests for a target, which is not sent there for a while.
func (v *View) lack(in *registry.Instance, t fleet.Target, d time.Duration) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.lacks) >= maxLacks {
		maps.DeleteFunc(v.lacks, func(_ lackKey, until time.Time) bool { return now.After(until) })
	}
	if len(v.lacks) < maxLacks {
		v.lacks[lackKey{in.ID, in.Incarnation, t}] = now.Add(d)
	}
}

// another says whether a server other than those in not could take a request.
func (v *View) another(service fleet.ServiceID, r *balance.Request, not map[fleet.BackendID]bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.options(service, r, not)) > 0
}

// options returns the servers that can take a request; v.mu is held.
func (v *View) options(service fleet.ServiceID, r *balance.Request, not map[fleet.BackendID]bool) []*registry.Instance {
	var out []*registry.Instance
	for _, in := range v.instances {
		if in.Service == service && in.State == registry.Ready && !not[in.ID] && (r.Plain || in.Serves(r.Target)) {
			out = append(out, in)
		}
	}
	return out
}

// await registers a request that no server can take now, until the returned function is called.
func (v *View) await(service fleet.ServiceID, route *routes.Route, t fleet.Target) func() {
	k := demandKey{service, t}
	v.mu.Lock()
	w := v.waiting[k]
	if w == nil {
		w = &waiters{urgent: route.Priority}
		v.waiting[k] = w
	}
	w.count++
	w.urgent = min(w.urgent, route.Priority)
	v.mu.Unlock()
	v.hurry()
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if w.count--; w.count == 0 {
			delete(v.waiting, k)
		}
	}
}

func (v *View) first(t *balance.Ticket) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.balancer.FirstByte(time.Now(), t)
}

func (v *View) end(t *balance.Ticket, o balance.Outcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.balancer.End(time.Now(), t, o)
}
