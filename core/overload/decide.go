package overload

import (
	"time"

	"toucanway/core/fleet"
)

// Decide decides on a request that may be sent to the given servers. t is its ticket, 0 on arrival; the returned one must be passed the
// next time if the request waits. The random number is at least 0 and less than 1. A request that is neither sent nor waits any more
// must be removed, except that one that is refused has been removed already.
func (p *Policy) Decide(now time.Time, t Ticket, r *Request, servers []Server, random float64) (Decision, Ticket) {
	e := p.entry(t)
	if e == nil {
		p.last++
		e = &entry{Request: *r, ticket: p.last, since: now, sentBefore: p.sent[r.class()]}
	} else {
		e.Request = *r
	}
	e.servers, e.expected = servers, leastExpected(servers)
	c := p.claimsBefore(now, e)
	d := Decision{Position: c.position, Others: c.before + c.equal}
	if d.Servers = p.mayTake(e, &c, random); len(d.Servers) > 0 {
		return d, e.ticket
	}
	switch {
	case c.room <= 0 && c.free <= 0:
		d.Reason = NoRoom
	case c.room <= 0:
		d.Reason = Behind
	default:
		d.Reason = Elsewhere
	}
	d.RoomIn = p.roomIn(now, e, &c)
	p.recordUnserved(now, r)
	p.preferStarvingIfNew(now, e, t)
	d.Recheck = max(min(max(d.RoomIn/2, minRecheck), maxRecheck), time.Duration(len(p.waiting))*time.Second/decisionsPerSecond)
	if s := p.exceed(now, e, &c, &d); s != "" {
		d.Servers = []fleet.BackendID{s}
		return d, e.ticket
	}
	if reason := p.refusalReason(now, e, &c, &d); reason != "" {
		if !e.canBeOnTime(now) && reason == HeldTooLong {
			p.observeLate(r, 0)
		}
		p.Remove(e.ticket)
		d.Action, d.Reason = Refuse, reason
		return d, 0
	}
	d.Action = Wait
	if latest := e.OnTime.Add(-e.expected).Sub(now); latest > 0 {
		// The last chance to be on time must not be missed.
		d.Recheck = max(min(d.Recheck, latest-minRecheck), minRecheck/3)
	}
	return d, e.ticket
}

// preferStarvingIfNew adds a request to the waiting ones if it is new, and prefers it if it starves.
func (p *Policy) preferStarvingIfNew(now time.Time, e *entry, t Ticket) {
	if t != e.ticket {
		p.waiting = append(p.waiting, e)
	}
	p.preferStarving(now, e)
}

// claims is what goes before a request.
type claims struct {
	// position is the number of requests at this host that go first and share a server with it.
	position int
	// before is the number of requests at other hosts that go first, equal that of those with an equal claim.
	before, equal int
	// free is the number of free places at all its servers, room what those at this host that go first leave of it.
	free, room int
	// places, taken and own are those of all its servers; places is 0 if they are not known.
	places, taken, own int
	// alike is the number of requests here that have an equal claim elsewhere, with this one.
	alike int
	// alikeFirst is the number of requests of its class here that go first, oldest the one of its class that has waited longest.
	alikeFirst int
	oldest     *entry
	// open lists the servers at which those at this host that go first leave room for it.
	open []int
}

func (p *Policy) claimsBefore(now time.Time, e *entry) claims {
	c := claims{alike: 1}
	onTime := e.canBeOnTime(now)
	claimed := make([]int, len(e.servers))
	for _, f := range p.waiting {
		if f == e {
			continue
		}
		same := f.class() == e.class()
		if same && f.canBeOnTime(now) == onTime {
			c.alike++
		}
		if same && (c.oldest == nil || f.since.Before(c.oldest.since)) {
			c.oldest = f
		}
		if !p.goesFirst(now, f, e) {
			continue
		}
		if same {
			c.alikeFirst++
		}
		shares := false
		for i := range e.servers {
			s := f.on(e.servers[i].ID)
			if s == nil {
				continue
			}
			shares = true
			// A request that doesn't fit leaves room for smaller ones, until too many have passed it.
			if n := s.needs(); n <= e.servers[i].Places-e.servers[i].Taken || f.bypassed >= outOfOrderEvery {
				claimed[i] += n
			}
		}
		if shares {
			c.position++
		}
	}
	for i := range e.servers {
		s := &e.servers[i]
		c.places, c.taken, c.own = c.places+s.Places, c.taken+s.Taken, c.own+s.Own
		free := max(s.Places-s.Taken, 0)
		c.free += free
		c.room += max(free-claimed[i], 0)
		if s.Places == 0 || s.HasRoom() && free-claimed[i] >= s.needs() {
			c.open = append(c.open, i)
		}
	}
	if e.ticket != p.starving {
		c.before, c.equal = p.others.ahead(&e.Request, onTime)
	}
	return c
}

// mayTake returns the servers to which a request may be sent now.
func (p *Policy) mayTake(e *entry, c *claims, random float64) []fleet.BackendID {
	if len(c.open) == 0 {
		return nil
	}
	// Hosts with an equal claim take as much of the room as they have requests; each draws, since none knows what the others do.
	left := c.room - c.before
	isMine := c.places == 0 || float64(left) > random*float64(1+c.equal)
	var out []fleet.BackendID
	for _, i := range c.open {
		// Others don't know yet of the places that requests of this host have left.
		if id := e.servers[i].ID; isMine || left > 0 && p.freed[id] > 0 {
			out = append(out, id)
		}
	}
	return out
}

// roomIn returns the time in which room for a request is expected.
func (p *Policy) roomIn(now time.Time, e *entry, c *claims) time.Duration {
	if c.places == 0 {
		return 0
	}
	hold, ok := p.hold[e.Service]
	if !ok {
		hold = float64(defaultHold)
	}
	ahead := float64(c.position+c.before) + float64(c.equal)/2 + 1 - float64(c.free)
	in := time.Duration(max(ahead, 0) * hold / float64(c.places))
	if c.oldest != nil && c.alikeFirst > 0 {
		if waited := now.Sub(c.oldest.since); waited >= evidenceTime {
			// More urgent requests that will come are known by what they have left for the class until now.
			sent := p.sent[e.class()] - c.oldest.sentBefore
			in = max(in, time.Duration(c.alikeFirst)*waited/time.Duration(sent+1))
		}
	}
	return in
}

// exceed returns a server to which a request is sent although it should wait, or "" if there is none. If the places there are taken, it is the
// first one here, and none is more urgent elsewhere.
func (p *Policy) exceed(now time.Time, e *entry, c *claims, d *Decision) fleet.BackendID {
	if !e.canBeOnTime(now) {
		return ""
	}
	isLast := !now.Add(minRecheck).Before(e.OnTime.Add(-e.expected))
	if isLast && len(c.open) > 0 {
		// It has left the room to others elsewhere until now.
		return e.servers[c.open[0]].ID
	}
	if c.position > 0 || c.before > 0 {
		return ""
	}
	start := now.Add(d.RoomIn + e.expected)
	switch {
	case start.After(e.OnTime) && p.isUrgent(e):
	case start.After(e.Deadline):
		return ""
	case isLast && c.equal == 0:
	case c.own*(c.alike+c.equal) < c.places*c.alike && now.Sub(e.Arrived) >= e.OnTime.Add(-e.expected).Sub(e.Arrived)/2:
		// A host with less than its share of the places would never get more while other hosts fill the places that they free.
	default:
		return ""
	}
	best := -1
	for i := range e.servers {
		s := &e.servers[i]
		if s.Taken+s.needs() <= s.Places+max(s.Places/overcommitShare, 1) && (best < 0 || s.Taken < e.servers[best].Taken) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return e.servers[best].ID
}

// isUrgent reports whether servers run requests that are less urgent, which they preempt.
func (p *Policy) isUrgent(e *entry) bool {
	for k := range p.running {
		if k.service == e.Service && k.priority > e.Priority {
			return true
		}
	}
	return false
}

// refusalReason returns the reason for which a request is refused now, or "".
func (p *Policy) refusalReason(now time.Time, e *entry, c *claims, d *Decision) Reason {
	if n := len(p.waiting); n > 2*maxWaiting || n > maxWaiting && p.isLast(now, e) {
		return TooMany
	}
	if c.position+c.before+c.equal == 0 && 2*c.taken < c.places {
		return ""
	}
	patience := e.Deadline.Sub(e.Arrived)
	if now.Sub(e.Arrived) >= max(time.Duration(holdShare*float64(patience)), e.OnTime.Sub(e.Arrived)) {
		return HeldTooLong
	}
	if e.ticket == p.starving {
		return ""
	}
	start := now.Add(d.RoomIn + e.expected)
	if start.After(e.Deadline) {
		return CertainlyLate
	}
	if !start.After(e.OnTime) {
		return ""
	}
	if odds, ok := p.lateOdds[e.class()]; ok && odds < minLateOdds && p.lateWaits(now, e) {
		return LateWithoutRoom
	}
	return ""
}

// lateWaits reports whether another request of the same class waits although it can't be on time.
func (p *Policy) lateWaits(now time.Time, e *entry) bool {
	for _, f := range p.waiting {
		if f != e && f.class() == e.class() && !f.canBeOnTime(now) {
			return true
		}
	}
	return false
}

// isLast reports whether no waiting request comes after e in the order.
func (p *Policy) isLast(now time.Time, e *entry) bool {
	for _, f := range p.waiting {
		if f != e && e.precedes(now, f) {
			return false
		}
	}
	return true
}

func leastExpected(servers []Server) time.Duration {
	var least time.Duration
	for i := range servers {
		if i == 0 || servers[i].Expected < least {
			least = servers[i].Expected
		}
	}
	return least
}
