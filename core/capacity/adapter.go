package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/fleet"
)

const (
	// loadRetryInterval is the time between attempts while the load share or memory is used up; one adapter load takes
	// about as long.
	loadRetryInterval = 5 * time.Millisecond
	// maxAdapterFailures is the number of failed loads after which a waiting request is refused.
	maxAdapterFailures = 2
	// loadTimeGain is the weight of a new adapter load time in the running mean.
	loadTimeGain = 0.125
	// adapterOrderBit keeps the ids of adapter orders apart from those of decisions, which are log indexes.
	adapterOrderBit = 1 << 62
	// orderSeqBits is the part of an adapter order's id below the fence; a table sends fewer orders than that.
	orderSeqBits = 24
)

type adapterState int

const (
	adapterLoading adapterState = iota
	adapterLoaded
	adapterUnloading
	adapterInDoubt
)

// adapter is an adapter that takes memory, or may do so.
type adapter struct {
	target  fleet.Target
	memory  fleet.Bytes
	state   adapterState
	order   fleet.OrderID
	loading bool
	// changed is when the last order was sent or ended; an older inventory says nothing of the adapter.
	changed time.Time
	// resolve is when an inventory may settle a doubt, since the order has ended by then.
	resolve time.Time
	pins    int
	// seconds is the last load time, uses counts grants since then; value is the eviction order: lowest first.
	seconds float64
	uses    float64
	value   float64
}

func (t *Table) nextOrder() fleet.OrderID {
	t.lastOrder++
	return fleet.OrderID(adapterOrderBit | uint64(t.cfg.Fence)<<orderSeqBits | t.lastOrder)
}

// touch counts a use of an adapter and renews its value: its uses times its cost of reload per byte, on top of the value
// evicted last, so that adapters that are not used any more age.
func (t *Table) touch(a *adapter) {
	a.uses++
	a.value = t.cost + a.uses*cmp.Or(a.seconds, t.loadTime, 0.01)/float64(max(a.memory, 1))
}

// ensureAdapter orders the load of an adapter if memory and the load share allow it, and returns the memory that it takes.
func (t *Table) ensureAdapter(now time.Time, target fleet.Target, memory fleet.Bytes) fleet.Bytes {
	if t.adapters[target] != nil || !t.granting() {
		return 0
	}
	t.loadsWait = true
	if !t.settled {
		return 0
	}
	if short := max(memory-t.free(), t.adapterMemory()+memory-t.adapterArea()); short > 0 {
		t.evict(now, short)
		return 0
	}
	if !t.cfg.Loads.take() {
		t.shareUsed = true
		return 0
	}
	a := &adapter{target: target, memory: memory, state: adapterLoading, loading: true}
	t.adapters[target] = a
	t.emit(LoadAdapter{Order: t.orderFor(now, a, fleet.OrderLoadAdapter)})
	return memory
}

// retryLoads orders the adapters that waiting requests still miss.
func (t *Table) retryLoads(now time.Time) {
	if !t.loadsWait {
		return
	}
	t.loadsWait, t.shareUsed = false, false
	for _, ticket := range slices.Sorted(maps.Keys(t.requests)) {
		if r := t.requests[ticket]; r.Target.Adapter != "" {
			t.ensureAdapter(now, r.Target, r.AdapterMemory)
		}
	}
}

func (t *Table) orderFor(now time.Time, a *adapter, kind fleet.OrderKind) fleet.Order {
	a.order = t.nextOrder()
	a.changed = now
	a.resolve = now.Add(t.settling())
	return fleet.Order{
		ID: a.order, Kind: kind, Target: a.target, Memory: a.memory, Fence: t.cfg.Fence, Deadline: t.cfg.Window,
	}
}

// evict unloads adapters that nobody uses or waits for until the unloads under way free the missing memory.
func (t *Table) evict(now time.Time, short fleet.Bytes) {
	if !t.settled {
		return
	}
	var idle []*adapter
	for _, a := range t.adapters {
		switch {
		case a.state == adapterUnloading:
			short -= a.memory
		case a.state == adapterLoaded && a.pins == 0 && t.wanted[a.target] == 0:
			idle = append(idle, a)
		}
	}
	slices.SortFunc(idle, func(a, b *adapter) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.target.String(), b.target.String()))
	})
	for _, a := range idle {
		if short <= 0 {
			return
		}
		short -= a.memory
		t.cost = max(t.cost, a.value)
		a.state = adapterUnloading
		t.emit(UnloadAdapter{Order: t.orderFor(now, a, fleet.OrderUnloadAdapter)})
	}
}

func (t *Table) adapterOutcome(now time.Time, ev AdapterEvent) {
	for _, a := range t.adapters {
		if a.order == ev.Order && a.state != adapterLoaded {
			t.settleAdapter(now, a, ev.Outcome)
			return
		}
	}
}

func (t *Table) settleAdapter(now time.Time, a *adapter, outcome fleet.OrderOutcome) {
	done := outcome == fleet.OrderDone
	switch outcome {
	case fleet.OrderInDoubt:
		a.state = adapterInDoubt
	case fleet.OrderDone, fleet.OrderRefused, fleet.OrderFailed:
		if done && a.loading {
			a.seconds = now.Sub(a.changed).Seconds()
			t.loadTime += loadTimeGain * (a.seconds - t.loadTime)
		}
		failed := !done && a.loading
		t.resolveAdapter(now, a, done == a.loading)
		if failed {
			t.loadFailed(a.target)
		}
	default:
		panic("capacity: unknown order outcome")
	}
}

// resolveAdapter ends an adapter's order with the adapter in memory or not.
func (t *Table) resolveAdapter(now time.Time, a *adapter, present bool) {
	if a.loading {
		a.loading = false
		t.cfg.Loads.give()
	}
	if !present {
		delete(t.adapters, a.target)
		return
	}
	a.state = adapterLoaded
	a.changed = now
	t.touch(a)
}

// loadFailed refuses waiting requests whose adapter failed to load repeatedly.
func (t *Table) loadFailed(target fleet.Target) {
	for _, ticket := range slices.Sorted(maps.Keys(t.requests)) {
		r := t.requests[ticket]
		if r.Target != target {
			continue
		}
		if r.failures++; r.failures >= maxAdapterFailures {
			t.queue.Remove(ticket)
			t.refuse(t.forget(ticket).from, fleet.Refuse(fleet.CodeLoadFailed, t.cfg.Window,
				"the adapter failed to load %d times on this backend server", r.failures))
		}
	}
}

// doubtOverdueOrders puts adapters in doubt whose order had no outcome by its deadline.
func (t *Table) doubtOverdueOrders(now time.Time) {
	for _, a := range t.adapters {
		if (a.state == adapterLoading || a.state == adapterUnloading) && !now.Before(a.resolve) {
			a.state = adapterInDoubt
		}
	}
}

// readAdapters resolves adapters in doubt and adds those that an earlier owner loaded.
func (t *Table) readAdapters(now, asked time.Time, listed []fleet.LoadedAdapter) {
	present := make(map[fleet.Target]fleet.Bytes, len(listed))
	for _, l := range listed {
		present[l.Target] = l.Memory
		if t.adapters[l.Target] == nil {
			a := &adapter{target: l.Target, memory: l.Memory, state: adapterLoaded}
			t.adapters[l.Target] = a
			t.touch(a)
		}
	}
	for target, a := range t.adapters {
		memory, ok := present[target]
		a.memory = max(a.memory, memory)
		switch a.state {
		case adapterLoading, adapterUnloading:
		case adapterInDoubt:
			if !asked.Before(a.resolve) {
				t.resolveAdapter(now, a, ok)
			}
		case adapterLoaded:
			if !ok && a.pins == 0 && asked.After(a.changed) {
				delete(t.adapters, target)
			}
		default:
			panic("capacity: unknown adapter state")
		}
	}
}
