package capacity

import (
	"time"

	"toucanway/core/fleet"
)

// grant is memory and a slot given to one request.
type grant struct {
	Grant
	from   requester
	target fleet.Target
	class  fleet.Class
	tenant fleet.TenantID
	tokens fleet.Tokens
	memory fleet.Bytes
	long   bool
	alone  bool
	// preemptible grants may be asked back once; stopping says that this one was.
	preemptible, stopping bool
	issued                time.Time
	// free is the earliest query time of an inventory whose silence proves that the request neither runs nor will.
	free time.Time
	// doubt says that only an inventory can end the grant, or confirm it.
	doubt bool
}

func (t *Table) grant(now time.Time, r *request) {
	t.lastGrant++
	g := &grant{
		Grant: Grant{
			Backend: t.cfg.Backend, Fence: t.cfg.Fence, ID: t.lastGrant, Request: r.Request,
			Waited: now.Sub(r.arrived), Window: t.cfg.Window,
		},
		from: r.from, target: r.Target, class: r.Class, tenant: r.Tenant, tokens: r.Tokens, memory: r.Memory,
		long: r.Long, alone: r.Alone, preemptible: r.Preemptible, issued: now, free: now.Add(t.settling()), doubt: true,
	}
	t.grants[g.ID] = g
	t.held[r.from] = g.ID
	t.alone = t.alone || g.alone
	if g.long {
		t.longs++
	}
	if a := t.adapters[r.Target]; a != nil {
		a.pins++
		t.touch(a)
	}
	t.emit(Granted{Host: r.Host, Grant: g.Grant})
}

func (t *Table) release(now time.Time, r Release) {
	g := t.grants[r.ID]
	if g == nil || r.Fence != t.cfg.Fence || r.Host != g.from.host {
		return
	}
	switch r.Outcome {
	case OutcomeDone:
		t.estimate.Observe(now.Sub(g.issued), g.long)
		if r.Tokens > 0 {
			t.queue.Correct(g.class, g.tenant, r.Tokens-g.tokens)
		}
		t.end(g)
	case OutcomeUnused, OutcomePreempted:
		t.end(g)
	case OutcomeInDoubt:
		g.doubt = true
		g.free = now.Add(t.settling())
	case OutcomeDispatched:
		g.doubt = false
		g.free = now.Add(t.settling())
	case OutcomeOutgrown:
		if !g.long {
			g.long = true
			t.longs++
		}
	default:
		// An outcome of a newer version of the protocol leaves the grant to the inventory.
		g.doubt = true
	}
}

// end frees the memory and slot of a grant.
func (t *Table) end(g *grant) {
	delete(t.grants, g.ID)
	delete(t.held, g.from)
	if g.long {
		t.longs--
	}
	if g.alone {
		t.alone = false
	}
	if a := t.adapters[g.target]; a != nil && a.pins > 0 {
		a.pins--
	}
}

func (t *Table) hostGone(now time.Time, host fleet.HostID) {
	for ticket, r := range t.requests {
		if r.from.host == host {
			t.queue.Remove(ticket)
			t.forget(ticket)
		}
	}
	for _, g := range t.grants {
		if g.from.host == host {
			g.doubt = true
			g.free = now.Add(t.settling())
		}
	}
}

// inventory resolves doubts by what the backend server says of itself.
func (t *Table) inventory(now time.Time, ev InventoryEvent) {
	inv := &ev.Inventory
	if inv.Incarnation != t.cfg.Incarnation || ev.Asked.Before(t.asked) {
		return
	}
	t.silent = false
	past := !ev.Asked.Before(t.cfg.Taken.Add(t.settling()))
	if !past && !(t.cfg.ChecksFence && inv.Fence >= t.cfg.Fence) {
		return
	}
	t.asked = ev.Asked
	t.read = true
	t.settled = t.settled || past
	running := make(map[fleet.RequestID]fleet.Bytes, len(inv.Running))
	for _, r := range inv.Running {
		running[r.Request] += r.Memory
	}
	known := make(map[fleet.RequestID]bool, len(t.grants))
	for _, g := range t.grants {
		memory, listed := running[g.Request]
		switch {
		case listed:
			g.memory = max(g.memory, memory)
			g.doubt = false
			known[g.Request] = true
		case !ev.Asked.Before(g.free):
			t.end(g)
		}
	}
	clear(t.strangers)
	for id, memory := range running {
		if !known[id] {
			t.strangers[id] = memory
		}
	}
	t.readModels(inv.Models)
	t.readAdapters(now, ev.Asked, inv.Adapters)
}

// readModels counts models that the control state does not record, or records with less memory.
func (t *Table) readModels(models []fleet.LoadedModel) {
	clear(t.surplus)
	for _, m := range models {
		recorded := fleet.Bytes(0)
		for _, r := range t.replicas {
			if r.Model == m.Model && r.admitted {
				recorded += r.Memory
			}
		}
		if m.Memory > recorded {
			t.surplus[m.Model] += m.Memory - recorded
		}
	}
}

// endDoubts lets time settle what an inventory settles elsewhere.
func (t *Table) endDoubts(now time.Time) {
	if !t.cfg.NoInventory {
		return
	}
	if !now.Before(t.cfg.Taken.Add(t.settling())) {
		t.read, t.settled = true, true
	}
	for _, g := range t.grants {
		if g.doubt && !now.Before(g.free.Add(doubtHold)) {
			t.end(g)
		}
	}
}

// nextDoubt returns when endDoubts has something to do next, and false when it has not.
func (t *Table) nextDoubt() (time.Time, bool) {
	if !t.settled {
		return t.cfg.Taken.Add(t.settling()), true
	}
	var at time.Time
	for _, g := range t.grants {
		if due := g.free.Add(doubtHold); g.doubt && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at, !at.IsZero()
}

// nextInventory returns when an inventory is wanted next, or a doubt ends without one, and false when neither is due.
func (t *Table) nextInventory() (time.Time, bool) {
	if t.cfg.NoInventory {
		return t.nextDoubt()
	}
	if !t.settled {
		at := t.cfg.Taken.Add(t.settling())
		if t.cfg.ChecksFence && !t.read {
			at = t.cfg.Taken
		}
		return later(at, t.reading.Add(doubtInterval)), true
	}
	var at time.Time
	want := false
	sooner := func(due time.Time, interval time.Duration) {
		due = later(due, t.reading.Add(interval))
		if !want || due.Before(at) {
			at, want = due, true
		}
	}
	for _, g := range t.grants {
		if g.doubt {
			sooner(g.free, doubtInterval)
		} else {
			sooner(g.issued.Add(recheckInterval), recheckInterval)
		}
	}
	for _, a := range t.adapters {
		if a.state == adapterInDoubt {
			sooner(a.resolve, doubtInterval)
		}
	}
	if len(t.strangers) > 0 || t.silent {
		sooner(t.asked, doubtInterval)
	}
	return at, want
}

func (t *Table) readInventory(now time.Time) {
	if t.cfg.NoInventory {
		return
	}
	if at, want := t.nextInventory(); want && !now.Before(at) {
		t.reading = now
		t.emit(ReadInventory{})
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
