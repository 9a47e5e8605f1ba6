package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
	"toucanway/core/queue"
)

var epoch = time.Unix(1_000_000, 0)

const (
	backendMemory = 1000
	backendSlots  = 4
	kvReserve     = 300
)

// simulation simulates a backend server with its hosts and its owner; messages are delayed and lost.
type simulation struct {
	t         *rapid.T
	now       time.Time
	table     *Table
	fence     fleet.Fence
	scheduled []action

	// Settings and state of the backend server: its highest fencing token, and the memory of what is loaded, being loaded and
	// running.
	checksFence, preempt bool
	engineFence          fleet.Fence
	modelMemory          map[fleet.OrderID]fleet.Bytes
	adapterMemory        map[fleet.Target]fleet.Bytes
	loadingMemory        fleet.Bytes
	running              map[fleet.RequestID]fleet.Bytes

	// Replicas in the control state, and for each request its memory, the time it was sent, the deadline of its answer and, if it
	// runs alone, the fencing token of the owner that it was sent to.
	replicas        []Replica
	requestMemory   map[fleet.RequestID]fleet.Bytes
	aloneUnder      map[fleet.RequestID]fleet.Fence
	sentAt          map[fleet.RequestID]time.Time
	unansweredUntil map[fleet.RequestID]time.Time
	requests        int
	granted         int
}

type action struct {
	at time.Time
	do func()
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: epoch, modelMemory: map[fleet.OrderID]fleet.Bytes{1: 200}, adapterMemory: map[fleet.Target]fleet.Bytes{},
		running: map[fleet.RequestID]fleet.Bytes{}, requestMemory: map[fleet.RequestID]fleet.Bytes{},
		aloneUnder: map[fleet.RequestID]fleet.Fence{}, sentAt: map[fleet.RequestID]time.Time{}, unansweredUntil: map[fleet.RequestID]time.Time{},
		replicas: []Replica{{Order: 1, Model: "m1", Memory: 200, Ready: true}}, checksFence: rapid.Bool().Draw(t, "checks-fence"),
		preempt: rapid.Bool().Draw(t, "preempt"),
	}
	w.takeOver()
	return w
}

func (w *simulation) schedule(name string, maxDelay time.Duration, do func()) {
	d := rapid.SampledFrom([]time.Duration{0, maxDelay / 7, maxDelay / 2, maxDelay - 1}).Draw(w.t, name)
	w.scheduled = append(w.scheduled, action{at: w.now.Add(d), do: do})
}

// takeOver replaces the table with one of a new owner. Requests that wait in the old table are no longer checked, since their
// hosts answer them.
func (w *simulation) takeOver() {
	w.fence++
	clear(w.unansweredUntil)
	w.table = New(Settings{
		Backend: "b", Incarnation: 1, Fence: w.fence, Memory: backendMemory, Slots: backendSlots, KVReserve: kvReserve,
		ChecksFence: w.checksFence, OwnedSince: w.now, Queue: queue.Settings{Limit: 16}, Loads: NewLoadShare(2),
		Preempt: w.preempt,
	})
	w.handle(ReplicasEvent{Replicas: slices.Clone(w.replicas)})
}

func (w *simulation) handle(ev Event) {
	for _, e := range w.table.Handle(w.now, ev) {
		w.apply(e)
	}
	w.check()
}

func (w *simulation) apply(e Effect) {
	fence, table := w.fence, w.table
	reply := func(ev Event) {
		w.schedule("answer", 40*time.Millisecond, func() {
			if w.table == table {
				w.handle(ev)
			}
		})
	}
	switch e := e.(type) {
	case Granted:
		delete(w.unansweredUntil, e.Grant.Request)
		w.granted++
		w.simulateDispatch(e.Grant, table)
	case Refused:
		delete(w.unansweredUntil, e.Request)
	case Cancelled:
		delete(w.unansweredUntil, e.Request)
	case Preempt:
		w.schedule("stop", 40*time.Millisecond, func() {
			if _, ok := w.running[e.Grant.Request]; ok {
				delete(w.running, e.Grant.Request)
				reply(ReleaseEvent{Release: Release{Fence: fence, ID: e.Grant.ID, Host: "h", Outcome: OutcomePreempted}})
			}
		})
	case LoadAdapter:
		w.simulateOrder(e.Order, reply)
	case UnloadAdapter:
		w.simulateOrder(e.Order, reply)
	case AdmitLoad:
		for i, r := range w.replicas {
			if r.Order == e.Order {
				w.replicas[i].Intended = false
				w.modelMemory[r.Order] = r.Memory
			}
		}
	case ReadInventory:
		asked := w.now
		w.schedule("read", 40*time.Millisecond, func() {
			w.engineFence = max(w.engineFence, fence)
			reply(InventoryEvent{Asked: asked, Inventory: w.inventory()})
		})
	default:
		w.t.Fatalf("unknown effect %T", e)
	}
}

func (w *simulation) refusesFence(f fleet.Fence) bool { return w.checksFence && f < w.engineFence }

// simulateDispatch simulates the host that has a grant: it dispatches at any time before the window ends, or never.
func (w *simulation) simulateDispatch(g Grant, table *Table) {
	left := g.DispatchBefore(w.sentAt[g.Request]).Sub(w.now)
	behaviour := rapid.IntRange(0, 5).Draw(w.t, "fate")
	report := func(o Outcome) {
		w.schedule("report", 40*time.Millisecond, func() {
			if w.table == table {
				w.handle(ReleaseEvent{Release: Release{Fence: g.Fence, ID: g.ID, Host: "h", Outcome: o}})
			}
		})
	}
	if behaviour == 0 || left <= 0 {
		if behaviour == 0 {
			report(OutcomeUnused)
		}
		return
	}
	w.schedule("dispatch", left, func() {
		switch behaviour {
		case 1:
			report(OutcomeInDoubt)
		case 3:
			report(OutcomeDispatched)
		case 4:
			report(OutcomeExceededPrediction)
		}
		w.schedule("transit", DefaultMaxTransit, func() {
			if w.refusesFence(g.Fence) {
				return
			}
			w.running[g.Request] += w.requestMemory[g.Request]
			w.schedule("run", rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 5 * time.Second}).Draw(w.t, "most"), func() {
				delete(w.running, g.Request)
				if behaviour > 2 {
					report(OutcomeDone)
				}
			})
		})
	})
}

// simulateOrder simulates the backend server, which carries out an order by its deadline or not at all, and may answer late or
// never.
func (w *simulation) simulateOrder(o fleet.Order, reply func(Event)) {
	outcome := rapid.SampledFrom([]fleet.OrderOutcome{
		fleet.OrderDone, fleet.OrderDone, fleet.OrderFailed, fleet.OrderInDoubt,
	}).Draw(w.t, "outcome")
	silent := outcome == fleet.OrderInDoubt && rapid.Bool().Draw(w.t, "silent")
	w.schedule("order", DefaultMaxTransit, func() {
		if w.refusesFence(o.Fence) {
			reply(AdapterEvent{Order: o.ID, Outcome: fleet.OrderRefused})
			return
		}
		if outcome == fleet.OrderFailed {
			reply(AdapterEvent{Order: o.ID, Outcome: outcome})
			return
		}
		load := o.Kind == fleet.OrderLoadAdapter
		if load {
			w.loadingMemory += o.Memory
		}
		w.schedule("work", o.Deadline-DefaultMaxTransit, func() {
			if load {
				w.loadingMemory -= o.Memory
				w.adapterMemory[o.Target] = o.Memory
			} else {
				delete(w.adapterMemory, o.Target)
			}
			if !silent {
				reply(AdapterEvent{Order: o.ID, Outcome: outcome})
			}
		})
	})
}

func (w *simulation) inventory() fleet.Inventory {
	inv := fleet.Inventory{Backend: "b", Incarnation: 1, Fence: w.engineFence}
	for id, m := range w.modelMemory {
		inv.Models = append(inv.Models, fleet.LoadedModel{Model: fleet.ModelID(fmt.Sprint("m", id)), Memory: m})
	}
	for target, m := range w.adapterMemory {
		inv.Adapters = append(inv.Adapters, fleet.LoadedAdapter{Target: target, Memory: m})
	}
	for id, m := range w.running {
		inv.Running = append(inv.Running, fleet.RunningRequest{Request: id, Memory: m})
	}
	return inv
}

// check requires that memory and slots are not overcommitted (invariant I2) and that no request is unanswered past its
// deadline (I3).
func (w *simulation) check() {
	used := w.loadingMemory
	for _, m := range w.modelMemory {
		used += m
	}
	for _, m := range w.adapterMemory {
		used += m
	}
	for _, m := range w.running {
		used += m
	}
	require.LessOrEqual(w.t, used, fleet.Bytes(backendMemory), "memory of the backend server at %v", w.now.Sub(epoch))
	require.LessOrEqual(w.t, len(w.running), backendSlots, "slots in use")
	for id := range w.running {
		// A new owner does not know which running requests have to run alone.
		if w.aloneUnder[id] == w.fence {
			require.Len(w.t, w.running, 1, "request %s runs alone", id)
		}
	}
	for id, deadline := range w.unansweredUntil {
		require.False(w.t, w.now.After(deadline), "request %s is unanswered past its deadline", id)
	}
}

// advance passes time and runs the scheduled actions and ticks in order.
func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := -1
		for i, a := range w.scheduled {
			if next < 0 || a.at.Before(w.scheduled[next].at) {
				next = i
			}
		}
		tick, ok := w.table.NextTick()
		if ok && (next < 0 || tick.Before(w.scheduled[next].at)) {
			if tick.After(end) {
				break
			}
			w.now = maxTime(w.now, tick)
			w.handle(TickEvent{})
			continue
		}
		if next < 0 || w.scheduled[next].at.After(end) {
			break
		}
		a := w.scheduled[next]
		w.scheduled = slices.Delete(w.scheduled, next, next+1)
		w.now = maxTime(w.now, a.at)
		a.do()
		w.check()
	}
	w.now = end
}

func maxTime(a, b time.Time) time.Time { return laterOf(a, b) }

func (w *simulation) acquire(t *rapid.T) {
	w.requests++
	a := Acquire{
		Host: "h", Request: fleet.RequestID(fmt.Sprint("r", w.requests)), Target: fleet.Target{Model: "m1"},
		Class:    fleet.Class(rapid.IntRange(0, 3).Draw(t, "class")),
		Deadline: rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "deadline"),
		Memory:   rapid.SampledFrom([]fleet.Bytes{10, 150, 250, 400}).Draw(t, "memory"),
		Long:     rapid.Bool().Draw(t, "long"), Alone: rapid.IntRange(0, 15).Draw(t, "alone") == 7,
		Preemptible: rapid.Bool().Draw(t, "preemptible"), Resumed: rapid.IntRange(0, 7).Draw(t, "resumed") == 3,
	}
	if n := rapid.IntRange(0, 6).Draw(t, "adapter"); n > 0 {
		a.Target.Adapter = fleet.AdapterID(fmt.Sprint("a", n))
		a.AdapterMemory = fleet.Bytes(50 * n)
	}
	w.requestMemory[a.Request] = a.Memory
	w.sentAt[a.Request] = w.now
	w.unansweredUntil[a.Request] = w.now.Add(a.Deadline)
	if a.Alone {
		w.aloneUnder[a.Request] = w.fence
	}
	w.handle(AcquireEvent{Acquire: a})
}

// Guards against overcommitted memory or slots and against unanswered requests when messages are lost or late and the owner
// changes.
func TestTableKeepsInvariants(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		order := fleet.OrderID(1)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": w.acquire,
			"burst": func(t *rapid.T) {
				for range backendSlots {
					w.acquire(t)
				}
			},
			"advance": func(t *rapid.T) {
				w.advance(rapid.SampledFrom([]time.Duration{time.Millisecond, 60 * time.Millisecond, time.Second}).Draw(t, "advance"))
			},
			"cancel": func(t *rapid.T) {
				for id := range w.unansweredUntil {
					if id == fleet.RequestID(fmt.Sprint("r", w.requests)) {
						w.handle(CancelEvent{Cancel: Cancel{Host: "h", Request: id}})
					}
				}
			},
			"host-gone": func(t *rapid.T) {
				clear(w.unansweredUntil)
				w.handle(SessionClosedEvent{Host: "h"})
			},
			"take-over": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "take") == 0 {
					w.takeOver()
				}
			},
			"replicas": func(t *rapid.T) {
				sum := fleet.Bytes(kvReserve)
				for _, r := range w.replicas {
					sum += r.Memory
				}
				if sum+100 <= backendMemory {
					order++
					w.replicas = append(w.replicas, Replica{
						Order: order, Model: fleet.ModelID(fmt.Sprint("m", order)), Memory: 100, Intended: true, Ready: true,
					})
				} else if last := w.replicas[len(w.replicas)-1]; len(w.replicas) > 1 && !last.Intended {
					w.replicas = w.replicas[:len(w.replicas)-1]
					delete(w.modelMemory, last.Order)
				}
				w.handle(ReplicasEvent{Replicas: slices.Clone(w.replicas)})
			},
		})
		granted += w.granted
	})
	require.Positive(t, granted, "no request was granted in any run")
}
