package capacity

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// overtakeFraction is the fraction of a request's time to its deadline during which later requests may be granted first while it
// needs more memory than is free, or the whole server.
const overtakeFraction = 0.25

// request is a waiting Acquire.
type request struct {
	Acquire
	from    requester
	arrived time.Time
	// blockedSince is when the request was first considered for a grant and did not fit.
	blockedSince time.Time
	// failures counts failed loads of the request's adapter.
	failures int
}

func (t *Table) refuse(to requester, r *fleet.Refusal) {
	t.emit(Refused{Host: to.host, Request: to.request, Refusal: r})
}

func (t *Table) acquire(now time.Time, a Acquire) {
	from := requester{host: a.Host, request: a.Request}
	entry := queue.Entry{
		Class: a.Class, Tenant: a.Tenant, Tokens: a.Tokens, Long: a.Long, Exempt: a.Resumed, Deadline: now.Add(a.Deadline),
	}
	if r := t.refusalFor(now, from, &a, entry); r != nil {
		t.refuse(from, r)
		return
	}
	ticket, ok := t.queue.Push(now, entry)
	if !ok {
		wait := t.slotWait(t.queue.Len())
		t.refuse(from, fleet.Refuse(fleet.CodeQueueFull, wait, "the queue of this backend server is full; %d requests wait", t.queue.Len()))
		return
	}
	t.requests[ticket] = &request{Acquire: a, from: from, arrived: now}
	t.tickets[from] = ticket
	if a.Target.Adapter != "" {
		t.adapterWaiters[a.Target]++
		t.ensureAdapter(now, a.Target, a.AdapterMemory)
	}
}

// refusalFor returns the refusal of a request that cannot be queued, or nil.
func (t *Table) refusalFor(now time.Time, from requester, a *Acquire, e queue.Entry) *fleet.Refusal {
	if _, held := t.grantIDs[from]; held || t.tickets[from] != 0 {
		return &fleet.Refusal{
			Code: fleet.CodeStillRunning, Execution: fleet.Running, RetryAfter: t.cfg.Window,
			Message: "the request already waits or runs on this backend server; wait for its answer",
		}
	}
	if t.draining || t.unresponsive {
		return drainingRefusal()
	}
	if t.replicasKnown && !t.serves(a.Target.Model) {
		return unservedRefusal(a.Target)
	}
	counted, intended := t.modelMemory()
	switch room := t.cfg.Memory - counted - intended; {
	case a.Memory < 0 || a.AdapterMemory < 0 || a.Memory > t.cfg.Memory:
		return fleet.Refuse(fleet.CodeTooLarge, 0, "the request needs %d bytes of KV cache; lower max_tokens", a.Memory)
	case a.Memory+a.AdapterMemory > room || a.AdapterMemory > max(0, room-t.cfg.KVReserve):
		return fleet.Refuse(fleet.CodeNoCapacity, 0,
			"models leave %d bytes of memory for KV cache and adapters on the backend server; choose another", room)
	}
	if wait := t.expectedWait(now, a, e); wait >= a.Deadline && !a.Resumed {
		return fleet.Refuse(fleet.CodeDeadlineTooShort, wait,
			"a slot is expected in %v, after the deadline in %v; allow more time", wait.Round(time.Millisecond), a.Deadline)
	}
	return nil
}

// expectedWait estimates the time until a new request is granted.
func (t *Table) expectedWait(now time.Time, a *Acquire, e queue.Entry) time.Duration {
	wait := t.slotWait(t.queue.CountBefore(e))
	if !t.inventoryKnown && (t.cfg.NoInventory || !t.cfg.ChecksFence) {
		wait = max(wait, t.cfg.OwnedSince.Add(t.settlingTime()).Sub(now))
	}
	if a.Target.Adapter != "" && t.adapters[a.Target] == nil {
		wait = max(wait, time.Duration(t.meanLoadTime*float64(time.Second)))
	}
	return wait
}

// dropRequest removes the state of a waiting request that left the queue and returns it.
func (t *Table) dropRequest(ticket queue.Ticket) *request {
	r := t.requests[ticket]
	delete(t.requests, ticket)
	delete(t.tickets, r.from)
	if r.Target.Adapter != "" {
		if t.adapterWaiters[r.Target]--; t.adapterWaiters[r.Target] <= 0 {
			delete(t.adapterWaiters, r.Target)
		}
	}
	return r
}

func (t *Table) expire(now time.Time) {
	for _, e := range t.queue.Expired(now) {
		r := t.dropRequest(e.Ticket)
		t.refuse(r.from, fleet.Refuse(fleet.CodeDeadlineExceeded, 0,
			"no slot became free within the deadline of %v; allow more time", r.Deadline))
	}
}

func (t *Table) cancel(c Cancel) {
	from := requester{host: c.Host, request: c.Request}
	if ticket, ok := t.tickets[from]; ok {
		t.queue.Remove(ticket)
		t.dropRequest(ticket)
	} else if id, ok := t.grantIDs[from]; ok {
		t.endGrant(t.grants[id])
	} else {
		return
	}
	t.emit(Cancelled{Host: c.Host, Request: c.Request})
}

// grantWaiting grants as many waiting requests as fit.
func (t *Table) grantWaiting(now time.Time) {
	if !t.canGrant() {
		return
	}
	for t.queue.Len() > 0 && t.usedSlots() < t.cfg.Slots && !t.alone {
		longCap := t.long.SlotLimit(now, t.cfg.Slots, t.queue.ShortCount())
		free := t.freeMemory()
		aloneWaits := false
		e, ok := t.queue.Pop(now, func(e *queue.Entry) queue.Verdict {
			r := t.requests[e.Ticket]
			if e.Long && (t.longGrants >= longCap || aloneWaits) {
				return queue.Skip
			}
			if r.Alone && t.usedSlots() > 0 {
				aloneWaits = true
				return r.overtakeVerdict(now)
			}
			if a := t.adapters[r.Target]; r.Target.Adapter != "" && (a == nil || a.state != adapterLoaded) {
				free -= t.ensureAdapter(now, r.Target, r.AdapterMemory)
				return queue.Skip
			}
			if r.Memory > free {
				t.evict(now, r.Memory-free)
				return r.overtakeVerdict(now)
			}
			return queue.Serve
		})
		if !ok {
			return
		}
		t.grant(now, t.dropRequest(e.Ticket))
	}
}

// overtakeVerdict returns Skip for a request that does not fit yet, and Stop once it has been overtaken for long enough.
func (r *request) overtakeVerdict(now time.Time) queue.Verdict {
	if r.blockedSince.IsZero() {
		r.blockedSince = now
	}
	if now.Sub(r.blockedSince) < time.Duration(overtakeFraction*float64(r.Deadline)) {
		return queue.Skip
	}
	return queue.Stop
}
