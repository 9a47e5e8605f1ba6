package overload

import (
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Parameters of the decisions.
const (
	// maxWaiting bounds the requests that wait at a host; beyond it the last one in the order is refused.
	maxWaiting = 2048
	// outOfOrderEvery is the interval, in requests sent from the queue, at which one is sent that belongs to an account, model, session,
	// kind or size without service for starvationTime. It is also the number of requests that may pass a larger one for which there is no room.
	outOfOrderEvery = 16
	starvationTime  = time.Second
	// maxUnserved bounds the number of remembered accounts, models, sessions, kinds and sizes without service; further ones are not preferred.
	maxUnserved = 4096
	// unservedMemory is how long one is remembered after its last request.
	unservedMemory = 10 * time.Second
	// A request waits at most for holdShare of the time until its deadline, or until it would be late, so that its caller can send it again
	// elsewhere.
	holdShare = 0.5
	// overcommitShare is the share of a server's places by which requests that would miss their objective at this host may exceed them.
	overcommitShare = 8
	// minRecheck and maxRecheck bound the time after which a waiting request is decided on again without a change.
	minRecheck, maxRecheck = 15 * time.Millisecond, 200 * time.Millisecond
	// evidenceTime is the shortest wait of a request from which the rate of its class is read.
	evidenceTime = 500 * time.Millisecond
	// decisionsPerSecond bounds the decisions on waiting requests without a change, since each compares a request with all others.
	decisionsPerSecond = 500
	// defaultHold is the duration of a request before the first one of its service has ended.
	defaultHold = time.Second
	// holdWeight and lateWeight are the weights of new observations of the duration of requests, and of whether those that can't be on
	// time any more get room.
	holdWeight, lateWeight = 0.05, 0.1
	// minLateOdds is the share of such requests below which others like them are refused at once, except one at a time.
	minLateOdds = 0.5
)

// Action is what happens to a request.
type Action uint8

// Actions.
const (
	// Send means that the request may be sent to the servers in Decision.Servers.
	Send Action = iota
	// Wait means that it waits at this host and is decided on again.
	Wait
	// Refuse means that it is refused as not run.
	Refuse
)

// Reason says why a request waits or is refused, for logs and metrics.
type Reason string

// Reasons.
const (
	// NoRoom means that the servers have no room as far as known.
	NoRoom Reason = "no-room"
	// Behind means that others at this host go first, Elsewhere that others at other hosts do.
	Behind    Reason = "behind-others"
	Elsewhere Reason = "more-urgent-elsewhere"
	// CertainlyLate means that room is expected too late for the deadline.
	CertainlyLate Reason = "certain-to-miss-deadline"
	// LateWithoutRoom means that the answer can't be on time and that requests like it get no room.
	LateWithoutRoom Reason = "late-without-room"
	// HeldTooLong means that the request has waited for the largest part of the time to its deadline.
	HeldTooLong Reason = "held-too-long"
	// Loading means that no server holds the model and that the load under way ends too late.
	Loading Reason = "loading-too-long"
	// TooMany means that the host holds as many waiting requests as it can.
	TooMany Reason = "too-many-waiting"
)

// Decision is the decision on one request.
type Decision struct {
	Action Action
	// Servers lists the servers to which the request may be sent.
	Servers []fleet.BackendID
	Reason  Reason
	// Position is the number of requests at this host that go first, Others that at other hosts.
	Position, Others int
	// RoomIn is the time in which room for the request is expected.
	RoomIn time.Duration
	// Recheck is the time after which a waiting request is to be decided on again.
	Recheck time.Duration
}

// Policy decides on the requests of one host and holds those that wait.
type Policy struct {
	last    Ticket
	waiting []*entry
	others  Scarcity
	// hold is the smoothed duration of the requests of a service.
	hold map[fleet.ServiceID]float64
	// running is the number of requests of this host at servers.
	running map[runningKey]int
	// lateOdds is the smoothed share of requests that got room after they could no longer be on time, by priority.
	lateOdds map[Class]float64
	// unserved holds the facets of requests that waited or were refused since one of them was last sent.
	unserved map[facet]unserved
	// forgotAt is the time at which unserved was last searched for old facets.
	forgotAt time.Time
	// starving is a waiting request with a facet that has been without service for starvationTime; 0 if there is none.
	starving Ticket
	// sent is the number of requests of a class that were sent.
	sent map[Class]int
	// freed is the number of places that requests of this host have left since the last view of other hosts, who don't know of them yet.
	freed map[fleet.BackendID]int
	// inOrder is the number of requests sent from the queue since the last one out of order.
	inOrder int
}

type runningKey struct {
	service  fleet.ServiceID
	priority int
}

// New returns a policy without requests.
func New() *Policy {
	return &Policy{
		hold: map[fleet.ServiceID]float64{}, running: map[runningKey]int{}, lateOdds: map[Class]float64{}, unserved: map[facet]unserved{},
		freed: map[fleet.BackendID]int{}, sent: map[Class]int{},
	}
}

// SetOthers replaces the view of the requests that wait at other hosts.
func (p *Policy) SetOthers(s Scarcity) {
	p.others = s
	clear(p.freed)
}

// DropOldView drops the view of other hosts if it is older than MaxViewAge at a time of its clock.
func (p *Policy) DropOldView(now time.Time) {
	if p.others.known() && now.Sub(p.others.AsOf) > MaxViewAge {
		p.others = Scarcity{}
	}
}

// HasView reports whether other hosts have told of waiting requests.
func (p *Policy) HasView() bool { return p.others.known() }

// Uncontended reports whether no request waits here, nor anywhere else as far as known.
func (p *Policy) Uncontended() bool { return len(p.waiting) == 0 && !p.others.known() }

// Len returns the number of waiting requests.
func (p *Policy) Len() int { return len(p.waiting) }

// Begin records that a request is sent to a server. t is its ticket if it has waited.
func (p *Policy) Begin(now time.Time, r *Request, t Ticket, id fleet.BackendID) {
	if p.freed[id] > 0 {
		p.freed[id]--
	}
	p.running[runningKey{r.Service, r.Priority}]++
	if len(p.unserved) > 0 {
		for _, f := range r.facets() {
			delete(p.unserved, f)
		}
	}
	if len(p.waiting) == 0 {
		return
	}
	p.sent[r.class()]++
	if t != 0 && t == p.starving {
		p.starving, p.inOrder = 0, 0
	} else {
		p.inOrder++
	}
	e := p.entry(t)
	switch {
	case e == nil:
		e = &entry{Request: *r, ticket: p.last + 1}
	case !e.canBeOnTime(now):
		p.observeLate(r, 1)
	}
	for _, f := range p.waiting {
		if f != e && f.on(id) != nil && f.precedes(now, e) {
			f.bypassed++
		}
	}
	p.Remove(t)
}

// End records that a request has left a server after a time; answered is set if it was run to its end.
func (p *Policy) End(s fleet.ServiceID, priority int, id fleet.BackendID, held time.Duration, answered bool) {
	if len(p.waiting) > 0 {
		p.freed[id]++
	}
	k := runningKey{s, priority}
	if p.running[k]--; p.running[k] <= 0 {
		delete(p.running, k)
	}
	if !answered {
		return
	}
	mean, ok := p.hold[s]
	if !ok {
		mean = float64(held)
	}
	p.hold[s] = mean + holdWeight*(float64(held)-mean)
}

// Hold makes a request wait that servers have turned away, so that it keeps its place in the order. It returns its ticket.
func (p *Policy) Hold(now time.Time, t Ticket, r *Request, servers []Server) Ticket {
	e := p.entry(t)
	if e == nil {
		p.last++
		e = &entry{Request: *r, ticket: p.last, since: now, sentBefore: p.sent[r.class()]}
		p.waiting = append(p.waiting, e)
	}
	e.servers = servers
	p.recordUnserved(now, r)
	return e.ticket
}

// Taken returns the number of places that count as taken at a server, given the requests of this host and, as of a view of an age, those
// of the others. If requests there are shorter than the view is old, the others' ones have ended since; this host may then have one
// request there at a time to find out.
func (p *Policy) Taken(s fleet.ServiceID, places, own, others int, age time.Duration) int {
	hold, ok := p.hold[s]
	if ok && own == 0 && others >= places && float64(age) > hold {
		return places - 1
	}
	return own + others
}

// Remove removes a request that does not wait any more.
func (p *Policy) Remove(t Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(e *entry) bool { return e.ticket == t })
	if len(p.waiting) == 0 {
		clear(p.sent)
		clear(p.freed)
	}
	if t == p.starving {
		p.starving = 0
	}
}

// First returns the ticket of the first waiting request that a server can take, or 0.
func (p *Policy) First(now time.Time, id fleet.BackendID) Ticket {
	var first *entry
	for _, e := range p.waiting {
		if e.on(id) != nil && (first == nil || p.goesFirst(now, e, first)) {
			first = e
		}
	}
	if first == nil {
		return 0
	}
	return first.ticket
}

// Firsts returns the tickets of the first waiting requests, at most n of them.
func (p *Policy) Firsts(now time.Time, n int) []Ticket {
	list := slices.Clone(p.waiting)
	if len(list) > n {
		slices.SortFunc(list, func(a, b *entry) int {
			if p.goesFirst(now, a, b) {
				return -1
			}
			return 1
		})
		list = list[:n]
	}
	out := make([]Ticket, len(list))
	for i, e := range list {
		out[i] = e.ticket
	}
	return out
}

// Summary returns the requests that wait here for room, by class.
func (p *Policy) Summary(now time.Time) map[Class]Work {
	if len(p.waiting) == 0 {
		return nil
	}
	out := map[Class]Work{}
	for _, e := range p.waiting {
		k := e.class()
		w := out[k]
		if e.canBeOnTime(now) {
			w.OnTime++
		} else {
			w.Late++
		}
		out[k] = w
	}
	return out
}

func (p *Policy) entry(t Ticket) *entry {
	for _, e := range p.waiting {
		if e.ticket == t {
			return e
		}
	}
	return nil
}

// goesFirst reports whether e is served before f, given that every outOfOrderEvery-th request is served out of order.
func (p *Policy) goesFirst(now time.Time, e, f *entry) bool {
	if p.starving != 0 && p.inOrder+1 >= outOfOrderEvery && (e.ticket == p.starving) != (f.ticket == p.starving) {
		return e.ticket == p.starving
	}
	return e.precedes(now, f)
}

// observeLate records whether a request that could not be on time any more got room: 1 or 0.
func (p *Policy) observeLate(r *Request, got float64) {
	k := r.class()
	if len(p.lateOdds) >= maxUnserved {
		clear(p.lateOdds)
	}
	odds, ok := p.lateOdds[k]
	if !ok {
		odds = 1
	}
	p.lateOdds[k] = odds + lateWeight*(got-odds)
}
