package gateway

import (
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

// pick chooses a server for a request, other than those in not; nil if none can serve it now. The channel is closed when that
// may have changed.
func (v *View) pick(service fleet.ServiceID, r *balance.Request, not map[fleet.BackendID]bool) (*registry.Instance, *balance.Ticket, balance.Choice, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	in, t, c := v.balancer.Pick(time.Now(), r, v.options(service, r, not))
	return in, t, c, v.changed
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
		if in.Service == service && in.State == registry.Ready && !not[in.ID] && (r.Plain || in.Holds(r.Target)) {
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
	v.balancer.First(time.Now(), t)
}

func (v *View) end(t *balance.Ticket, o balance.Outcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.balancer.End(time.Now(), t, o)
}
