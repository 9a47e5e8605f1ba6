package capacity

import (
	"time"

	"toucanway/core/fleet"
)

// grant is the memory and the slot allocated to one request.
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
	// preemptible means that the host can stop the request on a Preempt; stopping that a Preempt was sent.
	preemptible, stopping bool
	issued                time.Time
	// releasableAt is the earliest request time of an inventory that, if it does not list the request, proves that the
	// request neither runs nor will run.
	releasableAt time.Time
	// inDoubt means that it is unknown whether the request runs.
	inDoubt bool
}

func (t *Table) grant(now time.Time, r *request) {
	t.lastGrant++
	g := &grant{
		Grant: Grant{
			Backend: t.cfg.Backend, Fence: t.cfg.Fence, ID: t.lastGrant, Request: r.Request,
			Waited: now.Sub(r.arrived), Window: t.cfg.Window,
		},
		from: r.from, target: r.Target, class: r.Class, tenant: r.Tenant, tokens: r.Tokens, memory: r.Memory,
		long: r.Long, alone: r.Alone, preemptible: r.Preemptible, issued: now, releasableAt: now.Add(t.settlingTime()), inDoubt: true,
	}
	t.grants[g.ID] = g
	t.grantIDs[r.from] = g.ID
	t.alone = t.alone || g.alone
	if g.long {
		t.longGrants++
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
			t.queue.CorrectCharge(g.class, g.tenant, r.Tokens-g.tokens)
		}
		t.endGrant(g)
	case OutcomeUnused, OutcomePreempted:
		t.endGrant(g)
	case OutcomeInDoubt:
		g.inDoubt = true
		g.releasableAt = now.Add(t.settlingTime())
	case OutcomeDispatched:
		g.inDoubt = false
		g.releasableAt = now.Add(t.settlingTime())
	case OutcomeExceededPrediction:
		if !g.long {
			g.long = true
			t.longGrants++
		}
	default:
		// The outcome of a newer protocol version is unknown here, so an inventory has to resolve the grant.
		g.inDoubt = true
	}
}

// endGrant frees the memory and slot of a grant.
func (t *Table) endGrant(g *grant) {
	delete(t.grants, g.ID)
	delete(t.grantIDs, g.from)
	if g.long {
		t.longGrants--
	}
	if g.alone {
		t.alone = false
	}
	if a := t.adapters[g.target]; a != nil && a.pins > 0 {
		a.pins--
	}
}

func (t *Table) sessionClosed(now time.Time, host fleet.HostID) {
	for ticket, r := range t.requests {
		if r.from.host == host {
			t.queue.Remove(ticket)
			t.dropRequest(ticket)
		}
	}
	for _, g := range t.grants {
		if g.from.host == host {
			g.inDoubt = true
			g.releasableAt = now.Add(t.settlingTime())
		}
	}
}

// applyInventory reconciles grants, models and adapters with an inventory of the backend server. Older inventories, and those
// after which dispatches of the previous owner may still arrive, are ignored.
func (t *Table) applyInventory(now time.Time, ev InventoryEvent) {
	inv := &ev.Inventory
	if inv.Incarnation != t.cfg.Incarnation || ev.Asked.Before(t.inventoryAsked) {
		return
	}
	t.unresponsive = false
	afterTakeover := !ev.Asked.Before(t.cfg.OwnedSince.Add(t.settlingTime()))
	if !afterTakeover && !(t.cfg.ChecksFence && inv.Fence >= t.cfg.Fence) {
		return
	}
	t.inventoryAsked = ev.Asked
	t.inventoryKnown = true
	t.takeoverComplete = t.takeoverComplete || afterTakeover
	running := make(map[fleet.RequestID]fleet.Bytes, len(inv.Running))
	for _, r := range inv.Running {
		running[r.Request] += r.Memory
	}
	tracked := make(map[fleet.RequestID]bool, len(t.grants))
	for _, g := range t.grants {
		memory, listed := running[g.Request]
		switch {
		case listed:
			g.memory = max(g.memory, memory)
			g.inDoubt = false
			tracked[g.Request] = true
		case !ev.Asked.Before(g.releasableAt):
			t.endGrant(g)
		}
	}
	clear(t.untracked)
	for id, memory := range running {
		if !tracked[id] {
			t.untracked[id] = memory
		}
	}
	t.countUnrecorded(inv.Models)
	t.reconcileAdapters(now, ev.Asked, inv.Adapters)
}

// countUnrecorded counts the memory of models that the control state does not record, or records with less memory.
func (t *Table) countUnrecorded(models []fleet.LoadedModel) {
	clear(t.unrecorded)
	for _, m := range models {
		recorded := fleet.Bytes(0)
		for _, r := range t.replicas {
			if r.Model == m.Model && r.admitted {
				recorded += r.Memory
			}
		}
		if m.Memory > recorded {
			t.unrecorded[m.Model] += m.Memory - recorded
		}
	}
}

// expireDoubts resolves grants in doubt by timeout on a backend server without inventories.
func (t *Table) expireDoubts(now time.Time) {
	if !t.cfg.NoInventory {
		return
	}
	if !now.Before(t.cfg.OwnedSince.Add(t.settlingTime())) {
		t.inventoryKnown, t.takeoverComplete = true, true
	}
	for _, g := range t.grants {
		if g.inDoubt && !now.Before(g.releasableAt.Add(doubtTimeout)) {
			t.endGrant(g)
		}
	}
}

// nextDoubtExpiry returns when expireDoubts is due next, and false when it is not.
func (t *Table) nextDoubtExpiry() (time.Time, bool) {
	if !t.takeoverComplete {
		return t.cfg.OwnedSince.Add(t.settlingTime()), true
	}
	var at time.Time
	for _, g := range t.grants {
		if due := g.releasableAt.Add(doubtTimeout); g.inDoubt && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at, !at.IsZero()
}

// nextInventory returns when an inventory is needed next, or, without inventories, when a doubt expires; false when neither
// is due.
func (t *Table) nextInventory() (time.Time, bool) {
	if t.cfg.NoInventory {
		return t.nextDoubtExpiry()
	}
	if !t.takeoverComplete {
		at := t.cfg.OwnedSince.Add(t.settlingTime())
		if t.cfg.ChecksFence && !t.inventoryKnown {
			at = t.cfg.OwnedSince
		}
		return laterOf(at, t.lastRead.Add(doubtInterval)), true
	}
	var at time.Time
	needed := false
	sooner := func(due time.Time, interval time.Duration) {
		due = laterOf(due, t.lastRead.Add(interval))
		if !needed || due.Before(at) {
			at, needed = due, true
		}
	}
	for _, g := range t.grants {
		if g.inDoubt {
			sooner(g.releasableAt, doubtInterval)
		} else {
			sooner(g.issued.Add(recheckInterval), recheckInterval)
		}
	}
	for _, a := range t.adapters {
		if a.state == adapterInDoubt {
			sooner(a.resolvableAt, doubtInterval)
		}
	}
	if len(t.untracked) > 0 || t.unresponsive {
		sooner(t.inventoryAsked, doubtInterval)
	}
	return at, needed
}

func (t *Table) requestInventory(now time.Time) {
	if t.cfg.NoInventory {
		return
	}
	if at, needed := t.nextInventory(); needed && !now.Before(at) {
		t.lastRead = now
		t.emit(ReadInventory{})
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
