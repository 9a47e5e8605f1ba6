package gateway

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/overload"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

// errOverloaded means that the servers have too little room for a request.
var errOverloaded = Errors.NewType("overloaded").New("the backend servers that could take the request have no room for it in time")

// maxWoken bounds the waiting requests that are decided on again when a view of other hosts arrives.
const maxWoken = 16

// maxLoadsAge is the age from which the load of other hosts takes no places any more: without a leader, it would never change. Views arrive
// every second at least.
const maxLoadsAge = 2500 * time.Millisecond

// waiter is a request as far as it may have to wait for room. Only the goroutine of the request changes it; others use wake alone.
type waiter struct {
	// req describes the request, caller is what refusals remember it by.
	req    overload.Request
	caller *exchange
	// ticket is that of the waiting request; 0 while it doesn't wait.
	ticket overload.Ticket
	// wake has a value when the request should be decided on again; nil before the first decision.
	wake chan struct{}
	// first is the first decision on the request that made it wait, last the last decision.
	first, last overload.Decision
	key         uint64
}

// newWaiter returns the description of a request for the decision on it.
func (x *exchange) newWaiter() waiter {
	end := x.deadline
	if x.route.Kind == routes.Streaming {
		if at := x.began.Add(streamPatience(x.route)); at.Before(end) {
			end = at
		}
	}
	r := overload.Request{
		Service: x.service, Target: x.req.Target, Priority: x.priority(), Kind: x.route.Name, Arrived: x.began, OnTime: x.req.LatestStart, Deadline: end,
	}
	if x.account != nil {
		r.Account = x.account.Name
	}
	r.Size = bits.Len64(uint64(max(x.req.Prompt, 0)))
	if n := len(x.req.Parts); n > 1 {
		r.Session = x.req.Parts[n-2].ID
	}
	return waiter{req: r, caller: x}
}

// returnKey returns a hash of what the request has in common with its repeats.
func (x *exchange) returnKey() uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.Write(x.callerRequest.Header.RequestURI())
	_, _ = d.WriteString(string(x.req.Target.Model) + "/" + string(x.req.Target.Adapter))
	for _, p := range x.req.Parts {
		_, _ = d.WriteString("/" + p.ID)
	}
	_, _ = d.Write(x.callerRequest.Body())
	return d.Sum64()
}

// withRoom returns the servers to which a request may be sent now, with their candidates and the index of the one that is drawn; there
// are none if the request must wait for room or is refused, which the selection then says. v.mu is held.
func (v *View) withRoom(now time.Time, r *balance.Request, c *selection, instances []*registry.Instance) ([]*registry.Instance, []balance.Candidate, int) {
	candidates := v.balancer.Candidates(now, r, instances)
	best := v.balancer.Draw(candidates)
	if c.waiter == nil {
		return instances, candidates, best
	}
	if v.policy.HasView() {
		v.policy.DropOldView(v.cfg.Now())
	}
	if v.policy.Uncontended() {
		if s := v.serverRoom(r, instances[best], &candidates[best]); s.HasRoom() {
			return instances, candidates, best
		}
	}
	servers := make([]overload.Server, len(instances))
	for i, in := range instances {
		servers[i] = v.serverRoom(r, in, &candidates[i])
	}
	d := v.decide(now, c.waiter, servers)
	if d.Action != overload.Send {
		c.isHeld, c.isRefused, c.retryAt = d.Action == overload.Wait, d.Action == overload.Refuse, now.Add(d.Recheck)
		return nil, nil, 0
	}
	open := make([]*registry.Instance, 0, len(d.Servers))
	for _, in := range instances {
		for _, id := range d.Servers {
			if in.ID == id {
				open = append(open, in)
			}
		}
	}
	candidates = v.balancer.Candidates(now, r, open)
	return open, candidates, v.balancer.Draw(candidates)
}

// serverRoom returns what is known of the room for a request at a server; v.mu is held.
func (v *View) serverRoom(r *balance.Request, in *registry.Instance, o *balance.Candidate) overload.Server {
	m := v.balancer.Occupancy(r, in, o)
	if m.Others > 0 && v.cfg.Now().Sub(v.loadsAsOf) > maxLoadsAge {
		m.Others = 0
	}
	return overload.Server{
		ID: in.ID, Places: m.Places, Own: m.Own, Needs: m.Needs, Expected: m.Expected,
		Taken: v.policy.Taken(in.Service, m.Places, m.Own, m.Others, v.balancer.ViewAge()),
	}
}

// decide decides on a request; v.mu is held.
func (v *View) decide(now time.Time, w *waiter, servers []overload.Server) overload.Decision {
	if v.policy.Len() > 0 {
		v.introduce(now, w)
	}
	var d overload.Decision
	before := w.ticket
	d, w.ticket = v.policy.Decide(now, w.ticket, &w.req, servers, v.draw)
	w.last = d
	if d.Action != overload.Send {
		v.introduce(now, w)
	}
	switch d.Action {
	case overload.Wait:
		if w.first.Reason == "" {
			w.first = d
		}
		v.waiters[w.ticket] = w
	case overload.Refuse:
		delete(v.waiters, before)
	case overload.Send:
	}
	return d
}

// introduce prepares a request that may have to wait. It hashes the request, which one that finds room is spared; v.mu is held.
func (v *View) introduce(now time.Time, w *waiter) {
	if w.wake != nil {
		return
	}
	w.wake = make(chan struct{}, 1)
	w.key = w.caller.returnKey()
	w.req.Seniority = v.returns.Arrive(now, w.key)
}

// holdPlace keeps the place in the order of a request that was turned away by servers that are busy for a moment; v.mu is held.
func (v *View) holdPlace(now time.Time, service fleet.ServiceID, r *balance.Request, k constraint) {
	w := k.waiter
	v.introduce(now, w)
	eligible := v.eligible(now, service, r, k)
	servers := make([]overload.Server, len(eligible))
	for i, in := range eligible {
		servers[i] = overload.Server{ID: in.ID, Places: in.Slots, Taken: in.Slots}
	}
	w.ticket = v.policy.Hold(now, w.ticket, &w.req, servers)
	v.waiters[w.ticket] = w
}

// leaveQueue ends the wait of a request that isn't sent.
func (v *View) leaveQueue(w *waiter) {
	if w.ticket == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.policy.Remove(w.ticket)
	delete(v.waiters, w.ticket)
	w.ticket = 0
}

// beginWaiter records that a request is sent; v.mu is held.
func (v *View) beginWaiter(now time.Time, w *waiter, id fleet.BackendID) {
	v.policy.Begin(now, &w.req, w.ticket, id)
	if w.ticket != 0 {
		delete(v.waiters, w.ticket)
		w.ticket = 0
	}
}

// wakeFirst wakes the first waiting request that a server can take; v.mu is held.
func (v *View) wakeFirst(now time.Time, id fleet.BackendID) {
	if v.policy.Len() == 0 {
		return
	}
	v.waiters[v.policy.First(now, id)].wakeUp()
}

// wakeWaiting wakes the requests that wait for room, the first ones if there are many; v.mu is held.
func (v *View) wakeWaiting(now time.Time) {
	for _, t := range v.policy.Firsts(now, maxWoken) {
		v.waiters[t].wakeUp()
	}
}

// wakeUp makes the request be decided on again.
func (w *waiter) wakeUp() {
	if w == nil {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// refuseAsOverloaded refuses a request, which was not run, and says when room is expected.
func (x *exchange) refuseAsOverloaded() (int, string) {
	v := x.proxy.view
	w := &x.waiter
	v.mu.Lock()
	delay := v.returns.Refuse(time.Now(), w.key, w.last.RoomIn, w.req.Seniority, rand.Float64())
	v.mu.Unlock()
	x.returnIn = delay
	if w.last.Reason == overload.Loading {
		return x.refuseFor(delay, "model-loading", "the request was not run: no backend server holds the model, and the load that is under way ends too late")
	}
	return x.refuseFor(delay, "overloaded", "the request was not run: "+errOverloaded.Error())
}

// overloadFields returns the log fields of a request that has waited for room or was refused for lack of it, and counts it.
func (x *exchange) overloadFields() []zap.Field {
	first, last := &x.waiter.first, &x.waiter.last
	var out []zap.Field
	if first.Reason != "" {
		x.proxy.metrics.overload.With(x.route.Name, "waited", string(first.Reason)).Inc(1)
		out = append(out, zap.String("waited-since", string(first.Reason)), zap.Int("ahead-here", first.Position), zap.Int("ahead-elsewhere", first.Others))
	}
	if last.Action == overload.Refuse {
		x.proxy.metrics.overload.With(x.route.Name, "refused", string(last.Reason)).Inc(1)
		out = append(out, zap.String("refused-since", string(last.Reason)), zap.Duration("room-in-ms", last.RoomIn), zap.Duration("return-in-ms", x.returnIn))
	}
	if x.waiter.req.Seniority > 0 {
		out = append(out, zap.Duration("first-refused-ms", x.waiter.req.Seniority))
	}
	return out
}
