package capacity

import (
	"cmp"
	"slices"
	"time"
)

// preemptAfter is how long a grant is left alone, so that the work of a resume stays small against what it ran.
const preemptAfter = 2 * time.Second

// preempt asks back the slots that long work holds above its share while short work of the same or a higher class waits.
// Long work gets there while no short work waits, or by outgrowing its prediction.
func (t *Table) preempt(now time.Time) {
	top, waits := t.queue.TopShort()
	if !t.cfg.Preempt || !waits || t.alone || t.busy() < t.cfg.Slots {
		return
	}
	excess := t.longs - t.long.Cap(now, t.cfg.Slots, 1)
	var victims []*grant
	for _, g := range t.grants {
		switch {
		case g.stopping:
			excess--
		case g.long && g.preemptible && g.class >= top && now.Sub(g.issued) >= preemptAfter:
			victims = append(victims, g)
		}
	}
	// Those that ran longest go first, which shares the slots among long requests in turn.
	slices.SortFunc(victims, func(a, b *grant) int { return cmp.Or(a.issued.Compare(b.issued), cmp.Compare(a.ID, b.ID)) })
	for _, g := range victims[:max(0, min(excess, len(victims)))] {
		g.stopping = true
		t.emit(Preempt{Host: g.from.host, Grant: g.Grant})
	}
}
