package capacity

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// patience is the share of its time to the deadline after which a request that needs more memory than is free, or the
// whole server, is no longer overtaken.
const patience = 0.25

// request is a waiting Acquire.
type request struct {
	Acquire
	from    requester
	arrived time.Time
	blocked time.Time
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
	if r := t.inadmissible(now, from, &a, entry); r != nil {
		t.refuse(from, r)
		return
	}
	ticket, ok := t.queue.Push(now, entry)
	if !ok {
		wait := t.wait(t.queue.Len())
		t.refuse(from, fleet.Refuse(fleet.CodeQueueFull, wait, "%d requests wait for this backend server", t.queue.Len()))
		return
	}
	t.requests[ticket] = &request{Acquire: a, from: from, arrived: now}
	t.tickets[from] = ticket
	if a.Target.Adapter != "" {
		t.wanted[a.Target]++
		t.ensureAdapter(now, a.Target, a.AdapterMemory)
	}
}

// inadmissible returns why a request is refused at once, or nil.
func (t *Table) inadmissible(now time.Time, from requester, a *Acquire, e queue.Entry) *fleet.Refusal {
	if _, held := t.held[from]; held || t.tickets[from] != 0 {
		return &fleet.Refusal{
			Code: fleet.CodeStillRunning, Execution: fleet.Running, RetryAfter: t.cfg.Window,
			Message: "the request waits or runs on this backend server already",
		}
	}
	if t.draining || t.silent {
		return leaving()
	}
	if t.told && !t.serves(a.Target.Model) {
		return unserved(a.Target)
	}
	counted, intended := t.models()
	switch room := t.cfg.Memory - counted - intended; {
	case a.Memory < 0 || a.AdapterMemory < 0 || a.Memory > t.cfg.Memory:
		return fleet.Refuse(fleet.CodeTooLarge, 0, "the request needs %d bytes of KV cache; lower max_tokens", a.Memory)
	case a.Memory+a.AdapterMemory > room || a.AdapterMemory > max(0, room-t.cfg.KVReserve):
		return fleet.Refuse(fleet.CodeNoCapacity, 0, "models leave %d bytes on the backend server; choose another", room)
	}
	if wait := t.expectedWait(now, a, e); wait >= a.Deadline && !a.Resumed {
		return fleet.Refuse(fleet.CodeDeadlineTooShort, wait, "a slot is expected in %v, after the deadline in %v",
			wait.Round(time.Millisecond), a.Deadline)
	}
	return nil
}

// expectedWait estimates the time until a new request is granted.
func (t *Table) expectedWait(now time.Time, a *Acquire, e queue.Entry) time.Duration {
	wait := t.wait(t.queue.Ahead(e))
	if !t.read && (t.cfg.NoInventory || !t.cfg.ChecksFence) {
		wait = max(wait, t.cfg.Taken.Add(t.settling()).Sub(now))
	}
	if a.Target.Adapter != "" && t.adapters[a.Target] == nil {
		wait = max(wait, time.Duration(t.loadTime*float64(time.Second)))
	}
	return wait
}

// forget drops a waiting request that left the queue and returns it.
func (t *Table) forget(ticket queue.Ticket) *request {
	r := t.requests[ticket]
	delete(t.requests, ticket)
	delete(t.tickets, r.from)
	if r.Target.Adapter != "" {
		if t.wanted[r.Target]--; t.wanted[r.Target] <= 0 {
			delete(t.wanted, r.Target)
		}
	}
	return r
}

func (t *Table) expire(now time.Time) {
	for _, e := range t.queue.Expired(now) {
		r := t.forget(e.Ticket)
		t.refuse(r.from, fleet.Refuse(fleet.CodeDeadlineExceeded, 0, "no slot became free within %v", r.Deadline))
	}
}

func (t *Table) cancel(c Cancel) {
	from := requester{host: c.Host, request: c.Request}
	if ticket, ok := t.tickets[from]; ok {
		t.queue.Remove(ticket)
		t.forget(ticket)
	} else if id, ok := t.held[from]; ok {
		t.end(t.grants[id])
	} else {
		return
	}
	t.emit(Cancelled{Host: c.Host, Request: c.Request})
}

// serve grants as many waiting requests as fit.
func (t *Table) serve(now time.Time) {
	if !t.granting() {
		return
	}
	for t.queue.Len() > 0 && t.busy() < t.cfg.Slots && !t.alone {
		longCap := t.long.Cap(now, t.cfg.Slots, t.queue.Shorts())
		free := t.free()
		aloneWaits := false
		e, ok := t.queue.Pop(now, func(e *queue.Entry) queue.Verdict {
			r := t.requests[e.Ticket]
			if e.Long && (t.longs >= longCap || aloneWaits) {
				return queue.Skip
			}
			if r.Alone && t.busy() > 0 {
				aloneWaits = true
				return r.overtaken(now)
			}
			if a := t.adapters[r.Target]; r.Target.Adapter != "" && (a == nil || a.state != adapterLoaded) {
				free -= t.ensureAdapter(now, r.Target, r.AdapterMemory)
				return queue.Skip
			}
			if r.Memory > free {
				t.evict(now, r.Memory-free)
				return r.overtaken(now)
			}
			return queue.Take
		})
		if !ok {
			return
		}
		t.grant(now, t.forget(e.Ticket))
	}
}

// overtaken lets others pass a request that does not fit yet, until it has waited for long enough.
func (r *request) overtaken(now time.Time) queue.Verdict {
	if r.blocked.IsZero() {
		r.blocked = now
	}
	if now.Sub(r.blocked) < time.Duration(patience*float64(r.Deadline)) {
		return queue.Skip
	}
	return queue.Stop
}
