package capacity

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// preemptAfter is how long a grant is left alone, so that the work of a resume stays small against what it ran.
const preemptAfter = 2 * time.Second

// preempt asks back long work: slots that it holds above its share while short work of the same or a higher class waits, and
// memory that the load of a model waits for. Long work gets above its share while no short work waits, or by outgrowing its
// prediction.
func (t *Table) preempt(now time.Time) {
	if !t.cfg.Preempt || t.draining {
		return
	}
	excess := 0
	top, waits := t.queue.TopShort()
	if waits && !t.alone && t.busy() >= t.cfg.Slots {
		excess = t.longs - t.long.Cap(now, t.cfg.Slots, 1)
	}
	missing := t.missingForLoads()
	if excess <= 0 && missing <= 0 {
		return
	}
	var victims []*grant
	for _, g := range t.grants {
		switch {
		case g.stopping:
			excess--
			missing -= g.memory
		case g.long && g.preemptible && now.Sub(g.issued) >= preemptAfter:
			victims = append(victims, g)
		}
	}
	// Those that ran longest go first, which shares the slots among long requests in turn.
	slices.SortFunc(victims, func(a, b *grant) int { return cmp.Or(a.issued.Compare(b.issued), cmp.Compare(a.ID, b.ID)) })
	for _, g := range victims {
		if missing <= 0 && (excess <= 0 || g.class < top) {
			continue
		}
		excess--
		missing -= g.memory
		g.stopping = true
		t.emit(Preempt{Host: g.from.host, Grant: g.Grant})
	}
}

// missingForLoads returns the memory that intended replicas lack beyond what is free or being freed.
func (t *Table) missingForLoads() fleet.Bytes {
	_, intended := t.models()
	if intended == 0 || !t.settled {
		return 0
	}
	missing := -t.free()
	for _, a := range t.adapters {
		if a.state == adapterUnloading {
			missing -= a.memory
		}
	}
	return missing
}
