package capacity

import (
	"cmp"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// Defaults of Settings and times between inventories.
const (
	// DefaultMaxTransit is eight times the one-way delay between regions.
	DefaultMaxTransit = 100 * time.Millisecond
	// doubtInterval is the time between inventories while something is in doubt.
	doubtInterval = 500 * time.Millisecond
	// doubtTimeout is how long a grant in doubt stays allocated on a backend server without inventories.
	doubtTimeout = 30 * time.Second
	// recheckInterval is the time between inventories while grants are allocated, so that memory is freed even if a release
	// is lost.
	recheckInterval = 10 * time.Second
)

// Settings configures a Table; zero fields mean the documented defaults.
type Settings struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	// Fence is the fencing token of the ownership.
	Fence fleet.Fence
	// Memory and Slots are what the backend server announced.
	Memory fleet.Bytes
	Slots  int
	// KVReserve is memory kept for the KV cache, which adapters may not use.
	KVReserve fleet.Bytes
	// ChecksFence means that the backend server refuses dispatches and orders with an older fence.
	ChecksFence bool
	// NoInventory means that the backend server, a plain service, has no inventory. Grants then begin once the dispatch
	// windows of the previous owner's grants have ended, and a grant in doubt is freed after doubtTimeout.
	NoInventory bool
	// OwnedSince is when the ownership began on the owner's clock.
	OwnedSince time.Time
	// Window is the dispatch window, DispatchWindow by default; adapter orders have the same deadline.
	Window time.Duration
	// MaxTransit bounds the time that a dispatch spends on the network, DefaultMaxTransit by default.
	MaxTransit time.Duration
	// Queue configures the queue of waiting requests.
	Queue queue.Settings
	// Long limits the slots that requests predicted to be long may use.
	Long queue.LongRule
	// Preempt enables Preempt effects, which free slots that long requests use above their share while short ones wait.
	Preempt bool
	// Loads bounds the owner's adapter loads in flight and is shared by its tables; nil means no bound.
	Loads *LoadShare
}

// Table tracks the memory and slots of one backend server under one ownership. It is not safe for concurrent use.
type Table struct {
	cfg      Settings
	queue    *queue.Queue
	long     queue.LongRule
	estimate queue.Estimator

	// requests and tickets hold the waiting requests; adapterWaiters counts them by adapter.
	requests       map[queue.Ticket]*request
	tickets        map[requester]queue.Ticket
	adapterWaiters map[fleet.Target]int

	grants   map[fleet.GrantID]*grant
	grantIDs map[requester]fleet.GrantID
	// untracked is the memory of running requests without a known grant, for instance of the previous owner.
	untracked map[fleet.RequestID]fleet.Bytes
	replicas  []*replica
	// unrecorded is the memory of loaded models beyond what the control state records.
	unrecorded map[fleet.ModelID]fleet.Bytes
	adapters   map[fleet.Target]*adapter
	// evictedValue is the value of the adapter evicted last; the values of later uses are added to it.
	evictedValue float64
	// meanLoadTime is the moving average of adapter load times in seconds.
	meanLoadTime float64

	lastGrant fleet.GrantID
	lastOrder uint64
	// longGrants is the number of grants to long requests; alone means that a grant uses the whole server.
	longGrants int
	alone      bool
	// replicasKnown means that a ReplicasEvent came, inventoryKnown that an inventory was accepted.
	replicasKnown  bool
	inventoryKnown bool
	// takeoverComplete means that dispatches and orders of the previous owner can no longer take effect.
	takeoverComplete bool
	// loadsPending means that a waiting request needs an adapter whose load could not be ordered yet.
	loadsPending bool
	// shareExhausted means that the load share was the reason. Then no event of this table shows when to try again.
	shareExhausted bool
	// lastEvent is the time of the last event.
	lastEvent    time.Time
	draining     bool
	unresponsive bool
	// inventoryAsked is when the last accepted inventory was requested, lastRead when ReadInventory was last emitted.
	inventoryAsked time.Time
	lastRead       time.Time
	effects        []Effect
}

// requester identifies an Acquire.
type requester struct {
	host    fleet.HostID
	request fleet.RequestID
}

type replica struct {
	Replica
	admitted bool
}

// New returns a table that grants nothing before its first inventory and ReplicasEvent.
func New(cfg Settings) *Table {
	cfg.Window = cmp.Or(cfg.Window, DispatchWindow)
	cfg.MaxTransit = cmp.Or(cfg.MaxTransit, DefaultMaxTransit)
	return &Table{
		cfg: cfg, queue: queue.New(cfg.Queue), long: cfg.Long,
		requests: map[queue.Ticket]*request{}, tickets: map[requester]queue.Ticket{}, adapterWaiters: map[fleet.Target]int{},
		grants: map[fleet.GrantID]*grant{}, grantIDs: map[requester]fleet.GrantID{},
		untracked: map[fleet.RequestID]fleet.Bytes{}, unrecorded: map[fleet.ModelID]fleet.Bytes{},
		adapters: map[fleet.Target]*adapter{},
	}
}

// Handle applies an event and returns its effects in order.
func (t *Table) Handle(now time.Time, ev Event) []Effect {
	t.effects = nil
	t.lastEvent = now
	t.expire(now)
	switch ev := ev.(type) {
	case AcquireEvent:
		t.acquire(now, ev.Acquire)
	case CancelEvent:
		t.cancel(ev.Cancel)
	case ReleaseEvent:
		t.release(now, ev.Release)
	case SessionClosedEvent:
		t.sessionClosed(now, ev.Host)
	case AdapterEvent:
		t.adapterOutcome(now, ev)
	case InventoryEvent:
		t.applyInventory(now, ev)
	case ReplicasEvent:
		t.setReplicas(ev.Replicas)
	case UnresponsiveEvent:
		t.unresponsive = true
		t.refuseWaiting(now)
	case SizeEvent:
		t.cfg.Memory, t.cfg.Slots = ev.Memory, ev.Slots
	case DrainEvent:
		t.drain(now)
	case TickEvent:
	default:
		panic("capacity: unknown event")
	}
	t.expireDoubts(now)
	t.markOverdueInDoubt(now)
	t.admitLoads(now)
	t.retryLoads(now)
	t.grantWaiting(now)
	t.long.Observe(now, t.usedSlots()-t.longGrants+t.queue.ShortCount())
	t.preempt(now)
	t.requestInventory(now)
	return t.effects
}

// NextTick returns when a TickEvent is due next, and false when none is.
func (t *Table) NextTick() (time.Time, bool) {
	at, ok := t.queue.NextDue()
	sooner := func(other time.Time) {
		if !ok || other.Before(at) {
			at, ok = other, true
		}
	}
	if due, needed := t.nextInventory(); needed {
		sooner(due)
	}
	if t.shareExhausted {
		sooner(t.lastEvent.Add(loadRetryInterval))
	}
	for _, a := range t.adapters {
		if a.state == adapterLoading || a.state == adapterUnloading {
			sooner(a.resolvableAt)
		}
	}
	return at, ok
}

// State returns the load of the backend server for answers and reports.
func (t *Table) State(time.Time) QueueState {
	before := t.queue.CountBefore(queue.Entry{Class: fleet.ClassStandard})
	return QueueState{
		Waiting: t.queue.Len(), Granted: t.usedSlots(), Slots: t.cfg.Slots, Free: t.freeMemory(),
		Wait: t.slotWait(before),
	}
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

// usedSlots returns the number of slots in use, including those of untracked requests.
func (t *Table) usedSlots() int { return len(t.grants) + len(t.untracked) }

// slotWait returns the expected time until a request with the given number of requests before it gets a slot.
func (t *Table) slotWait(before int) time.Duration {
	return t.estimate.Wait(before, t.cfg.Slots-t.usedSlots(), t.usedSlots()-t.longGrants, t.longGrants)
}

// modelMemory returns the memory of replicas that may be loaded, and of those whose load was not admitted yet.
func (t *Table) modelMemory() (counted, intended fleet.Bytes) {
	for _, r := range t.replicas {
		if r.admitted {
			counted += r.Memory
		} else {
			intended += r.Memory
		}
	}
	for _, m := range t.unrecorded {
		counted += m
	}
	return counted, intended
}

// maxAdapterMemory returns the largest amount of memory that adapters may take.
func (t *Table) maxAdapterMemory() fleet.Bytes {
	counted, intended := t.modelMemory()
	return max(0, t.cfg.Memory-counted-intended-t.cfg.KVReserve)
}

// adapterMemory returns the memory of adapters. While adapter orders of the previous owner can still take effect, all memory
// that adapters could take counts.
func (t *Table) adapterMemory() fleet.Bytes {
	var sum fleet.Bytes
	for _, a := range t.adapters {
		sum += a.memory
	}
	if !t.takeoverComplete {
		counted, _ := t.modelMemory()
		return max(sum, t.cfg.Memory-counted-t.cfg.KVReserve)
	}
	return sum
}

func (t *Table) grantMemory() fleet.Bytes {
	var sum fleet.Bytes
	for _, g := range t.grants {
		sum += g.memory
	}
	for _, m := range t.untracked {
		sum += m
	}
	return sum
}

// freeMemory returns the memory that is neither used nor reserved for an intended replica; it may be negative.
func (t *Table) freeMemory() fleet.Bytes {
	counted, intended := t.modelMemory()
	return t.cfg.Memory - counted - intended - t.adapterMemory() - t.grantMemory()
}

// settlingTime returns how long a dispatch may still take effect after its grant, or an adapter order after it was issued.
func (t *Table) settlingTime() time.Duration {
	return time.Duration(float64(t.cfg.Window)*(1+fleet.MaxClockDrift)) + t.cfg.MaxTransit
}

func (t *Table) setReplicas(list []Replica) {
	admitted := map[fleet.OrderID]bool{}
	for _, r := range t.replicas {
		admitted[r.Order] = r.admitted
	}
	t.replicas = t.replicas[:0]
	for _, r := range list {
		next := &replica{Replica: r, admitted: admitted[r.Order] || !r.Intended}
		t.replicas = append(t.replicas, next)
		if next.admitted && !admitted[r.Order] {
			t.unrecorded[r.Model] = max(0, t.unrecorded[r.Model]-r.Memory)
		}
	}
	t.replicasKnown = true
	t.refuseUnserved()
}

// admitLoads admits the loads of intended replicas once their memory is free outside the KV reserve; unused adapters are
// evicted for them. Adapters thus never exceed maxAdapterMemory. A new owner relies on that while it does not know the orders
// of the previous one.
func (t *Table) admitLoads(now time.Time) {
	if !t.canGrant() {
		return
	}
	for _, r := range t.replicas {
		if r.admitted {
			continue
		}
		counted, intended := t.modelMemory()
		outsideReserve := t.cfg.Memory - counted - t.cfg.KVReserve
		if missing := r.Memory - min(t.freeMemory()+intended, outsideReserve-t.adapterMemory()); missing > 0 {
			t.evict(now, missing)
			return
		}
		r.admitted = true
		t.emit(AdmitLoad{Order: r.Order})
	}
}

// canGrant reports whether the table may grant requests and admit loads at all.
func (t *Table) canGrant() bool {
	return t.replicasKnown && t.inventoryKnown && !t.draining && !t.unresponsive
}

func (t *Table) drain(now time.Time) {
	if t.draining {
		return
	}
	t.draining = true
	t.refuseWaiting(now)
}

func (t *Table) refuseWaiting(now time.Time) {
	for {
		e, ok := t.queue.Pop(now, func(*queue.Entry) queue.Verdict { return queue.Serve })
		if !ok {
			return
		}
		t.refuse(t.dropRequest(e.Ticket).from, drainingRefusal())
	}
}

func drainingRefusal() *fleet.Refusal {
	return fleet.Refuse(fleet.CodeNoCapacity, 0, "the backend server takes no new work; choose another")
}
