package capacity

import (
	"slices"

	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// serves reports whether a replica of the model accepts new requests. It is always true for plain services, which have no
// replicas.
func (t *Table) serves(m fleet.ModelID) bool {
	if t.cfg.NoInventory {
		return true
	}
	for _, r := range t.replicas {
		if r.Model == m && r.Ready {
			return true
		}
	}
	return false
}

// Running returns the number of grants on a model plus the number of untracked requests, which may be of any model.
func (t *Table) Running(m fleet.ModelID) int {
	n := len(t.untracked)
	for _, g := range t.grants {
		if g.target.Model == m {
			n++
		}
	}
	return n
}

// refuseUnserved refuses the waiting requests whose model is no longer served here.
func (t *Table) refuseUnserved() {
	var unserved []queue.Ticket
	for ticket, r := range t.requests {
		if !t.serves(r.Target.Model) {
			unserved = append(unserved, ticket)
		}
	}
	slices.Sort(unserved)
	for _, ticket := range unserved {
		t.queue.Remove(ticket)
		r := t.dropRequest(ticket)
		t.refuse(r.from, unservedRefusal(r.Target))
	}
}

func unservedRefusal(target fleet.Target) *fleet.Refusal {
	return fleet.Refuse(fleet.CodeNoCapacity, 0, "no ready replica of %s is on the backend server; choose another", target)
}
