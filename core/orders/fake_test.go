package orders_test

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/orders"
)

// engine simulates an engine that carries out every order it accepts. It fails the test if an order interrupts requests
// or breaks a bound of simulation.check.
type engine struct {
	w           *simulation
	a           fleet.Announcement
	fence       fleet.Fence
	models      map[fleet.ModelID]*loadedModel
	done        map[fleet.OrderID]bool
	running     map[fleet.ModelID]int
	seq         uint64
	unreachable bool
	// recordsFence means that the engine records the fence that it receives with an inventory read.
	recordsFence bool
}

type loadedModel struct {
	order  fleet.OrderID
	memory fleet.Bytes
	until  time.Time
	fails  bool
	reply  func(fleet.OrderOutcome)
	// restored means that the engine started with the model already loaded; late that its order came after the deadline.
	restored bool
	late     bool
}

func (e *engine) loading(m *loadedModel) bool { return e.w.now.Before(m.until) }

// order carries out one order. The engine remembers order ids, and the highest fence if it checks fences.
func (e *engine) order(t *rapid.T, m *message) {
	o := m.send.Order
	reply := func(out fleet.OrderOutcome) { e.w.answer(m, out) }
	if e.a.ChecksFence {
		if o.Fence < e.fence {
			reply(fleet.OrderRefused)
			return
		}
		e.fence = o.Fence
	}
	if e.done[o.ID] {
		return
	}
	e.done[o.ID] = true
	id := o.Target.Model
	switch cur := e.models[id]; {
	case o.Kind == fleet.OrderLoad && cur != nil:
		reply(fleet.OrderDone)
	case o.Kind == fleet.OrderLoad:
		fails := rapid.IntRange(0, 9).Draw(t, "fails") == 0
		took := time.Duration(rapid.IntRange(1, 30).Draw(t, "load")) * time.Second
		late := e.w.now.Sub(m.at) > loadDeadline
		e.models[id] = &loadedModel{order: o.ID, memory: o.Memory, until: e.w.now.Add(took), fails: fails, reply: reply, late: late}
		e.w.check(t)
	case cur == nil || e.loading(cur):
		reply(fleet.OrderRefused)
	default:
		if n := e.running[id]; n > 0 {
			t.Fatalf("%s: unload of %s interrupted %d requests", e.a.ID, id, n)
		}
		delete(e.models, id)
		reply(fleet.OrderDone)
	}
}

// progress finishes the loads whose time has passed.
func (e *engine) progress() {
	for _, id := range slices.Sorted(maps.Keys(e.models)) {
		h := e.models[id]
		if e.loading(h) || h.reply == nil {
			continue
		}
		reply := h.reply
		h.reply = nil
		if h.fails {
			delete(e.models, id)
			reply(fleet.OrderFailed)
			continue
		}
		reply(fleet.OrderDone)
	}
}

func (e *engine) inventory(fence fleet.Fence) *fleet.Inventory {
	if e.a.ChecksFence && e.recordsFence {
		e.fence = max(e.fence, fence)
	}
	e.seq++
	inv := &fleet.Inventory{Backend: e.a.ID, Incarnation: e.a.Incarnation, Seq: e.seq, Memory: e.a.Memory, Fence: e.fence}
	for _, id := range slices.Sorted(maps.Keys(e.models)) {
		h := e.models[id]
		state := fleet.ReplicaReady
		if e.loading(h) {
			state = fleet.ReplicaLoading
		}
		inv.Models = append(inv.Models, fleet.LoadedModel{Model: id, Version: "v1", State: state, Memory: h.memory, Order: h.order})
	}
	return inv
}

// restart begins a new incarnation with some models already loaded.
func (e *engine) restart(t *rapid.T) {
	e.a.Incarnation++
	e.fence, e.seq = 0, 0
	e.models, e.done, e.running = map[fleet.ModelID]*loadedModel{}, map[fleet.OrderID]bool{}, map[fleet.ModelID]int{}
	for _, d := range e.w.catalogue.Models[:rapid.IntRange(0, 2).Draw(t, "restored")] {
		e.models[d.ID] = &loadedModel{memory: d.Memory, restored: true}
	}
}

// message is an order in transit.
type message struct {
	host  *host
	send  orders.Send
	at    time.Time
	epoch int
}

// host simulates an entry host with its own copy of the control state, which lags behind.
type host struct {
	id               fleet.HostID
	incarnation      fleet.Incarnation
	state            control.State
	applied          int
	lag              int
	lease            time.Time
	cutOff           bool
	epoch            int
	owners           map[fleet.BackendID]*orders.Owner
	pendingProposals []control.Command
	delaysProposals  bool
	// stopped holds the log index at which grants on a replica ended.
	stopped map[modelOnBackend]fleet.OrderID
}

type modelOnBackend struct {
	backend fleet.BackendID
	model   fleet.ModelID
}

func (h *host) owner(id fleet.BackendID) *orders.Owner {
	if h.owners[id] == nil {
		h.owners[id] = orders.New(orders.Settings{Host: h.id, LoadDeadline: loadDeadline, MaxOrderDelay: maxOrderDelay}, id)
	}
	return h.owners[id]
}

// follow applies the log up to the host's lag and renews its lease.
func (h *host) follow(w *simulation) {
	if h.cutOff {
		return
	}
	for h.applied < len(w.log)-h.lag {
		h.state.Apply(fleet.Index(h.applied+1), w.log[h.applied])
		h.applied++
	}
	h.lease = w.now.Add(sessionLease)
}

func (h *host) step(t *rapid.T, w *simulation) {
	for _, e := range w.engines {
		o := h.owner(e.a.ID)
		view := orders.View{State: &h.state, LeaseEnd: h.lease, Running: func(m fleet.ModelID) int {
			return e.running[m]
		}}
		for _, eff := range o.Step(w.now, view) {
			switch eff := eff.(type) {
			case orders.Propose:
				h.pendingProposals = append(h.pendingProposals, eff.Command)
			case orders.Send:
				w.messages = append(w.messages, &message{host: h, send: eff, at: w.now, epoch: h.epoch})
			case orders.ReadInventory:
				if e.unreachable || e.a.Incarnation != eff.Incarnation || w.loseInventories {
					o.RecordInventory(w.now, eff.Read, nil)
					continue
				}
				inv := e.inventory(eff.Fence)
				w.scheduled = append(w.scheduled, func() { o.RecordInventory(w.now, eff.Read, inv) })
			case orders.StopGrants:
				h.stopped[modelOnBackend{eff.Backend, eff.Model}] = fleet.OrderID(len(w.log) + 1)
			case orders.LoadFinished:
				w.planner.ObserveLoad(w.now, loadResult(eff))
			default:
				t.Fatalf("unknown effect %T", eff)
			}
		}
	}
	if h.cutOff || h.delaysProposals {
		return
	}
	for _, c := range h.pendingProposals {
		w.apply(t, c)
	}
	h.pendingProposals = nil
}
