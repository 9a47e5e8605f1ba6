package capacity

import (
	"cmp"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// Defaults of Settings and times between inventories.
const (
	// DefaultTransit is eight times the one-way delay between regions.
	DefaultTransit = 100 * time.Millisecond
	// doubtInterval is the time between inventories while something is in doubt.
	doubtInterval = 500 * time.Millisecond
	// doubtHold is how long a grant in doubt is held on a backend server without inventories.
	doubtHold = 30 * time.Second
	// recheckInterval is the time between inventories while grants are held, so that a lost release frees its memory.
	recheckInterval = 10 * time.Second
)

// Settings configure a Table; zero fields mean the documented defaults.
type Settings struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	// Fence is the fencing token of the ownership.
	Fence fleet.Fence
	// Memory and Slots are what the backend server announced.
	Memory fleet.Bytes
	Slots  int
	// KVReserve is memory that adapters never take.
	KVReserve fleet.Bytes
	// ChecksFence says that the backend server refuses dispatches and orders with an older fence.
	ChecksFence bool
	// NoInventory says that the backend server, a plain service, cannot be asked what it runs: grants begin once those of
	// the previous owner have ended their window, and one in doubt is freed after doubtHold.
	NoInventory bool
	// Taken is when the ownership began on the owner's clock.
	Taken time.Time
	// Window is the dispatch window, DispatchWindow by default; adapter orders have the same deadline.
	Window time.Duration
	// Transit bounds the time that a dispatch spends on the network, DefaultTransit by default.
	Transit time.Duration
	// Queue configures the waiting requests.
	Queue queue.Settings
	// Long keeps predicted-long work from filling every slot.
	Long queue.LongRule
	// Preempt lets Preempt effects ask for slots that long work holds above its share while short work waits.
	Preempt bool
	// Loads is the owner's share of adapter loads in flight, common to its tables; nil means no bound.
	Loads *LoadShare
}

// Table is the account of one backend server under one owner. It is not safe for concurrent use.
type Table struct {
	cfg      Settings
	queue    *queue.Queue
	long     queue.LongRule
	estimate queue.Estimator

	requests map[queue.Ticket]*request
	tickets  map[requester]queue.Ticket
	wanted   map[fleet.Target]int

	grants    map[fleet.GrantID]*grant
	held      map[requester]fleet.GrantID
	strangers map[fleet.RequestID]fleet.Bytes
	replicas  []*replica
	surplus   map[fleet.ModelID]fleet.Bytes
	adapters  map[fleet.Target]*adapter
	// cost is the reload cost per byte of the adapter evicted last; newer uses count on top of it.
	cost float64
	// loadTime is the running mean of adapter load times in seconds.
	loadTime float64

	lastGrant fleet.GrantID
	lastOrder uint64
	longs     int
	alone     bool
	told      bool
	read      bool
	settled   bool
	// loadsWait says that a waiting request misses an adapter that could not be ordered yet.
	loadsWait bool
	// shareUsed says that the load share is why, so that no event of this table tells when to try again.
	shareUsed bool
	last      time.Time
	draining  bool
	silent    bool
	asked     time.Time
	reading   time.Time
	effects   []Effect
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
	cfg.Transit = cmp.Or(cfg.Transit, DefaultTransit)
	return &Table{
		cfg: cfg, queue: queue.New(cfg.Queue), long: cfg.Long,
		requests: map[queue.Ticket]*request{}, tickets: map[requester]queue.Ticket{}, wanted: map[fleet.Target]int{},
		grants: map[fleet.GrantID]*grant{}, held: map[requester]fleet.GrantID{},
		strangers: map[fleet.RequestID]fleet.Bytes{}, surplus: map[fleet.ModelID]fleet.Bytes{},
		adapters: map[fleet.Target]*adapter{},
	}
}

// Handle applies an event and returns its effects in order.
func (t *Table) Handle(now time.Time, ev Event) []Effect {
	t.effects = nil
	t.last = now
	t.expire(now)
	switch ev := ev.(type) {
	case AcquireEvent:
		t.acquire(now, ev.Acquire)
	case CancelEvent:
		t.cancel(ev.Cancel)
	case ReleaseEvent:
		t.release(now, ev.Release)
	case HostGoneEvent:
		t.hostGone(now, ev.Host)
	case AdapterEvent:
		t.adapterOutcome(now, ev)
	case InventoryEvent:
		t.inventory(now, ev)
	case ReplicasEvent:
		t.setReplicas(ev.Replicas)
	case SilentEvent:
		t.silent = true
		t.refuseWaiting(now)
	case SizeEvent:
		t.cfg.Memory, t.cfg.Slots = ev.Memory, ev.Slots
	case DrainEvent:
		t.drain(now)
	case TickEvent:
	default:
		panic("capacity: unknown event")
	}
	t.endDoubts(now)
	t.doubtOverdueOrders(now)
	t.admitLoads(now)
	t.retryLoads(now)
	t.serve(now)
	t.long.Observe(now, t.busy()-t.longs+t.queue.Shorts())
	t.preempt(now)
	t.readInventory(now)
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
	if due, want := t.nextInventory(); want {
		sooner(due)
	}
	if t.shareUsed {
		sooner(t.last.Add(loadRetryInterval))
	}
	for _, a := range t.adapters {
		if a.state == adapterLoading || a.state == adapterUnloading {
			sooner(a.resolve)
		}
	}
	return at, ok
}

// State returns the load for answers and reports.
func (t *Table) State(time.Time) QueueState {
	ahead := t.queue.Ahead(queue.Entry{Class: fleet.ClassStandard})
	return QueueState{
		Waiting: t.queue.Len(), Granted: t.busy(), Slots: t.cfg.Slots, Free: t.free(),
		Wait: t.wait(ahead),
	}
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

// busy returns the slots in use, those of unknown running requests included.
func (t *Table) busy() int { return len(t.grants) + len(t.strangers) }

// wait returns the expected time until a request with ahead others before it gets a slot.
func (t *Table) wait(ahead int) time.Duration {
	return t.estimate.Wait(ahead, t.cfg.Slots-t.busy(), t.busy()-t.longs, t.longs)
}

// models returns the memory of replicas that may be in memory, and of those whose load was not admitted yet.
func (t *Table) models() (counted, intended fleet.Bytes) {
	for _, r := range t.replicas {
		if r.admitted {
			counted += r.Memory
		} else {
			intended += r.Memory
		}
	}
	for _, m := range t.surplus {
		counted += m
	}
	return counted, intended
}

// adapterArea returns the memory that adapters may take at most.
func (t *Table) adapterArea() fleet.Bytes {
	counted, intended := t.models()
	return max(0, t.cfg.Memory-counted-intended-t.cfg.KVReserve)
}

// adapterMemory returns the memory of adapters. Until the previous owner's adapter orders have ended, all memory that they
// could take counts.
func (t *Table) adapterMemory() fleet.Bytes {
	var sum fleet.Bytes
	for _, a := range t.adapters {
		sum += a.memory
	}
	if !t.settled {
		counted, _ := t.models()
		return max(sum, t.cfg.Memory-counted-t.cfg.KVReserve)
	}
	return sum
}

func (t *Table) grantMemory() fleet.Bytes {
	var sum fleet.Bytes
	for _, g := range t.grants {
		sum += g.memory
	}
	for _, m := range t.strangers {
		sum += m
	}
	return sum
}

// free returns the memory that is neither used nor kept for an intended replica.
func (t *Table) free() fleet.Bytes {
	counted, intended := t.models()
	return t.cfg.Memory - counted - intended - t.adapterMemory() - t.grantMemory()
}

// settling returns how long a dispatch or order sent by another host may still have an effect.
func (t *Table) settling() time.Duration {
	return time.Duration(float64(t.cfg.Window)*(1+fleet.MaxClockSkewRate)) + t.cfg.Transit
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
			t.surplus[r.Model] = max(0, t.surplus[r.Model]-r.Memory)
		}
	}
	t.told = true
	t.refuseUnserved()
}

// admitLoads lets intended replicas be loaded once their memory is free without the KV reserve; adapters without use make
// way. Adapters thus never exceed their area, on which a new owner relies while orders of the previous one are unknown.
func (t *Table) admitLoads(now time.Time) {
	if !t.granting() {
		return
	}
	for _, r := range t.replicas {
		if r.admitted {
			continue
		}
		counted, intended := t.models()
		area := t.cfg.Memory - counted - t.cfg.KVReserve
		if short := r.Memory - min(t.free()+intended, area-t.adapterMemory()); short > 0 {
			t.evict(now, short)
			return
		}
		r.admitted = true
		t.emit(AdmitLoad{Order: r.Order})
	}
}

// granting says whether grants and loads may be given at all.
func (t *Table) granting() bool { return t.told && t.read && !t.draining && !t.silent }

func (t *Table) drain(now time.Time) {
	if t.draining {
		return
	}
	t.draining = true
	t.refuseWaiting(now)
}

// refuseWaiting refuses all waiting requests.
func (t *Table) refuseWaiting(now time.Time) {
	for {
		e, ok := t.queue.Pop(now, func(*queue.Entry) queue.Verdict { return queue.Take })
		if !ok {
			return
		}
		t.refuse(t.forget(e.Ticket).from, leaving())
	}
}

func leaving() *fleet.Refusal {
	return fleet.Refuse(fleet.CodeNoCapacity, 0, "the backend server takes no new work; choose another")
}
