package capacity

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// minRunTime is how long a request runs before it may be preempted, so that the cost of resuming it stays small compared with
// the work already done.
const minRunTime = 2 * time.Second

// preempt asks hosts to stop long requests for two reasons: they use more slots than their share while short requests of
// the same or a higher class wait, or a model load waits for their memory. Long requests exceed their share if they were
// granted while no short request waited, or if their output exceeded the prediction.
func (t *Table) preempt(now time.Time) {
	if !t.cfg.Preempt || t.draining {
		return
	}
	excess := 0
	topClass, shortWaits := t.queue.HighestShortClass()
	if shortWaits && !t.alone && t.usedSlots() >= t.cfg.Slots {
		excess = t.longGrants - t.long.SlotLimit(now, t.cfg.Slots, 1)
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
		case g.long && g.preemptible && now.Sub(g.issued) >= minRunTime:
			victims = append(victims, g)
		}
	}
	// Those that ran longest are stopped first, so that long requests take turns.
	slices.SortFunc(victims, func(a, b *grant) int { return cmp.Or(a.issued.Compare(b.issued), cmp.Compare(a.ID, b.ID)) })
	for _, g := range victims {
		if missing <= 0 && (excess <= 0 || g.class < topClass) {
			continue
		}
		excess--
		missing -= g.memory
		g.stopping = true
		t.emit(Preempt{Host: g.from.host, Grant: g.Grant})
	}
}

// missingForLoads returns how much memory intended replicas need beyond what is free or being freed by adapter unloads.
func (t *Table) missingForLoads() fleet.Bytes {
	_, intended := t.modelMemory()
	if intended == 0 || !t.takeoverComplete {
		return 0
	}
	missing := -t.freeMemory()
	for _, a := range t.adapters {
		if a.state == adapterUnloading {
			missing -= a.memory
		}
	}
	return missing
}
