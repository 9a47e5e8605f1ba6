package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/fleet"
)

const (
	// loadRetryInterval is the time between attempts to start an adapter load while the load share is used up. One adapter
	// load takes about as long.
	loadRetryInterval = 5 * time.Millisecond
	// maxAdapterFailures is the number of failed adapter loads after which a waiting request is refused.
	maxAdapterFailures = 2
	// loadTimeGain is the weight of a new adapter load time in the moving average.
	loadTimeGain = 0.125
	// adapterOrderBit distinguishes the ids of adapter orders from those of placement decisions, which are log indexes.
	adapterOrderBit = 1 << 62
	// orderSeqBits is the number of bits below the fence in an adapter order's id. They hold the table's order count, which
	// stays below 2^24.
	orderSeqBits = 24
)

type adapterState int

const (
	adapterLoading adapterState = iota
	adapterLoaded
	adapterUnloading
	adapterInDoubt
)

// adapter is an adapter that takes memory on the backend server, or may do so.
type adapter struct {
	target  fleet.Target
	memory  fleet.Bytes
	state   adapterState
	order   fleet.OrderID
	loading bool
	// changed is when the last order was sent or ended. An inventory that was requested earlier does not count for the
	// adapter.
	changed time.Time
	// resolvableAt is when the last order can no longer take effect, so that an inventory shows its outcome.
	resolvableAt time.Time
	// pins counts the grants that use the adapter.
	pins int
	// loadSeconds is the last load time; uses counts the loads and grants. The adapter with the lowest value is evicted
	// first.
	loadSeconds float64
	uses        float64
	value       float64
}

func (t *Table) nextOrderID() fleet.OrderID {
	t.lastOrder++
	return fleet.OrderID(adapterOrderBit | uint64(t.cfg.Fence)<<orderSeqBits | t.lastOrder)
}

// touch counts a use of an adapter and sets its eviction value: the uses times the reload time per byte, added to the value
// of the last evicted adapter, so that adapters that are no longer used fall behind (GreedyDual-Size-Frequency).
func (t *Table) touch(a *adapter) {
	a.uses++
	a.value = t.evictedValue + a.uses*cmp.Or(a.loadSeconds, t.meanLoadTime, 0.01)/float64(max(a.memory, 1))
}

// ensureAdapter orders the load of an adapter if memory and the load share allow it, and returns the memory that it takes;
// 0 if no load was ordered.
func (t *Table) ensureAdapter(now time.Time, target fleet.Target, memory fleet.Bytes) fleet.Bytes {
	if t.adapters[target] != nil || !t.canGrant() {
		return 0
	}
	t.loadsPending = true
	if !t.takeoverComplete {
		return 0
	}
	if missing := max(memory-t.freeMemory(), t.adapterMemory()+memory-t.maxAdapterMemory()); missing > 0 {
		t.evict(now, missing)
		return 0
	}
	if !t.cfg.Loads.acquire() {
		t.shareExhausted = true
		return 0
	}
	a := &adapter{target: target, memory: memory, state: adapterLoading, loading: true}
	t.adapters[target] = a
	t.emit(LoadAdapter{Order: t.newOrder(now, a, fleet.OrderLoadAdapter)})
	return memory
}

// retryLoads tries again to load the adapters that waiting requests need.
func (t *Table) retryLoads(now time.Time) {
	if !t.loadsPending {
		return
	}
	t.loadsPending, t.shareExhausted = false, false
	for _, ticket := range slices.Sorted(maps.Keys(t.requests)) {
		if r := t.requests[ticket]; r.Target.Adapter != "" {
			t.ensureAdapter(now, r.Target, r.AdapterMemory)
		}
	}
}

func (t *Table) newOrder(now time.Time, a *adapter, kind fleet.OrderKind) fleet.Order {
	a.order = t.nextOrderID()
	a.changed = now
	a.resolvableAt = now.Add(t.settlingTime())
	return fleet.Order{
		ID: a.order, Kind: kind, Target: a.target, Memory: a.memory, Fence: t.cfg.Fence, Deadline: t.cfg.Window,
	}
}

// evict unloads adapters that no grant uses and no request waits for, until all unloads in flight together free the missing
// memory.
func (t *Table) evict(now time.Time, missing fleet.Bytes) {
	if !t.takeoverComplete {
		return
	}
	var idle []*adapter
	for _, a := range t.adapters {
		switch {
		case a.state == adapterUnloading:
			missing -= a.memory
		case a.state == adapterLoaded && a.pins == 0 && t.adapterWaiters[a.target] == 0:
			idle = append(idle, a)
		}
	}
	slices.SortFunc(idle, func(a, b *adapter) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.target.String(), b.target.String()))
	})
	for _, a := range idle {
		if missing <= 0 {
			return
		}
		missing -= a.memory
		t.evictedValue = max(t.evictedValue, a.value)
		a.state = adapterUnloading
		t.emit(UnloadAdapter{Order: t.newOrder(now, a, fleet.OrderUnloadAdapter)})
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
			a.loadSeconds = now.Sub(a.changed).Seconds()
			t.meanLoadTime += loadTimeGain * (a.loadSeconds - t.meanLoadTime)
		}
		failed := !done && a.loading
		t.finishOrder(now, a, done == a.loading)
		if failed {
			t.loadFailed(a.target)
		}
	default:
		panic("capacity: unknown order outcome")
	}
}

// finishOrder ends an adapter's order; present says whether the adapter is in memory afterwards.
func (t *Table) finishOrder(now time.Time, a *adapter, present bool) {
	if a.loading {
		a.loading = false
		t.cfg.Loads.release()
	}
	if !present {
		delete(t.adapters, a.target)
		return
	}
	a.state = adapterLoaded
	a.changed = now
	t.touch(a)
}

// loadFailed counts a failed load for the requests that wait for the adapter and refuses those that reach
// maxAdapterFailures.
func (t *Table) loadFailed(target fleet.Target) {
	for _, ticket := range slices.Sorted(maps.Keys(t.requests)) {
		r := t.requests[ticket]
		if r.Target != target {
			continue
		}
		if r.failures++; r.failures >= maxAdapterFailures {
			t.queue.Remove(ticket)
			t.refuse(t.dropRequest(ticket).from, fleet.Refuse(fleet.CodeLoadFailed, t.cfg.Window,
				"the adapter failed to load %d times on this backend server; see the server's log", r.failures))
		}
	}
}

// markOverdueInDoubt marks the adapters whose order had no outcome by its deadline as in doubt.
func (t *Table) markOverdueInDoubt(now time.Time) {
	for _, a := range t.adapters {
		if (a.state == adapterLoading || a.state == adapterUnloading) && !now.Before(a.resolvableAt) {
			a.state = adapterInDoubt
		}
	}
}

// reconcileAdapters compares the adapters with those listed in an inventory: it resolves adapters in doubt, and adds those
// that an earlier owner loaded.
func (t *Table) reconcileAdapters(now, asked time.Time, listed []fleet.LoadedAdapter) {
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
			if !asked.Before(a.resolvableAt) {
				t.finishOrder(now, a, ok)
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
