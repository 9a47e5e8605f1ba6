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
	simulation     *simulation
	announcement   fleet.Announcement
	fence          fleet.Fence
	models         map[fleet.ModelID]*loadedModel
	receivedOrders map[fleet.OrderID]bool
	running        map[fleet.ModelID]int
	inventorySeq   uint64
	unreachable    bool
	// recordsFence means that the engine records the fence that it receives with an inventory read.
	recordsFence bool
}

type loadedModel struct {
	order   fleet.OrderID
	memory  fleet.Bytes
	readyAt time.Time
	fails   bool
	reply   func(fleet.OrderOutcome)
	// restored means that the engine started with the model already loaded. late means that the order for the load arrived after
	// its deadline.
	restored bool
	late     bool
}

func (e *engine) loading(m *loadedModel) bool { return e.simulation.now.Before(m.readyAt) }

// receiveOrder carries out one order. The engine remembers order ids, and the highest fence if it checks fences.
func (e *engine) receiveOrder(t *rapid.T, m *message) {
	o := m.send.Order
	reply := func(out fleet.OrderOutcome) { e.simulation.scheduleAnswer(m, out) }
	if e.announcement.ChecksFence {
		if o.Fence < e.fence {
			reply(fleet.OrderRefused)
			return
		}
		e.fence = o.Fence
	}
	if e.receivedOrders[o.ID] {
		return
	}
	e.receivedOrders[o.ID] = true
	id := o.Target.Model
	switch cur := e.models[id]; {
	case o.Kind == fleet.OrderLoad && cur != nil:
		reply(fleet.OrderDone)
	case o.Kind == fleet.OrderLoad:
		fails := rapid.IntRange(0, 9).Draw(t, "fails") == 0
		took := time.Duration(rapid.IntRange(1, 30).Draw(t, "load")) * time.Second
		late := e.simulation.now.Sub(m.sentAt) > loadDeadline
		e.models[id] = &loadedModel{order: o.ID, memory: o.Memory, readyAt: e.simulation.now.Add(took), fails: fails, reply: reply, late: late}
		e.simulation.check(t)
	case cur == nil || e.loading(cur):
		reply(fleet.OrderRefused)
	default:
		if n := e.running[id]; n > 0 {
			t.Fatalf("%s: unload of %s interrupted %d requests", e.announcement.ID, id, n)
		}
		delete(e.models, id)
		reply(fleet.OrderDone)
	}
}

// finishLoads finishes the loads whose duration has passed.
func (e *engine) finishLoads() {
	for _, id := range slices.Sorted(maps.Keys(e.models)) {
		loaded := e.models[id]
		if e.loading(loaded) || loaded.reply == nil {
			continue
		}
		reply := loaded.reply
		loaded.reply = nil
		if loaded.fails {
			delete(e.models, id)
			reply(fleet.OrderFailed)
			continue
		}
		reply(fleet.OrderDone)
	}
}

func (e *engine) inventory(fence fleet.Fence) *fleet.Inventory {
	if e.announcement.ChecksFence && e.recordsFence {
		e.fence = max(e.fence, fence)
	}
	e.inventorySeq++
	inv := &fleet.Inventory{Backend: e.announcement.ID, Incarnation: e.announcement.Incarnation, Seq: e.inventorySeq, Memory: e.announcement.Memory, Fence: e.fence}
	for _, id := range slices.Sorted(maps.Keys(e.models)) {
		loaded := e.models[id]
		state := fleet.ReplicaReady
		if e.loading(loaded) {
			state = fleet.ReplicaLoading
		}
		inv.Models = append(inv.Models, fleet.LoadedModel{Model: id, Version: "v1", State: state, Memory: loaded.memory, Order: loaded.order})
	}
	return inv
}

// restart begins a new incarnation with some models already loaded.
func (e *engine) restart(t *rapid.T) {
	e.announcement.Incarnation++
	e.fence, e.inventorySeq = 0, 0
	e.models, e.receivedOrders, e.running = map[fleet.ModelID]*loadedModel{}, map[fleet.OrderID]bool{}, map[fleet.ModelID]int{}
	for _, d := range e.simulation.catalogue.Models[:rapid.IntRange(0, 2).Draw(t, "restored")] {
		e.models[d.ID] = &loadedModel{memory: d.Memory, restored: true}
	}
}

// message is an order in transit.
type message struct {
	host          *host
	send          orders.Send
	sentAt        time.Time
	sessionNumber int
}

// host simulates an entry host with its own copy of the control state, which lacks the last lagEntries entries of the log.
// sessionNumber counts the sessions that it has opened; answers to messages of an earlier session are dropped.
type host struct {
	id               fleet.HostID
	incarnation      fleet.Incarnation
	state            control.State
	applied          int
	lagEntries       int
	leaseEnd         time.Time
	cutOff           bool
	sessionNumber    int
	owners           map[fleet.BackendID]*orders.Owner
	pendingProposals []control.Command
	delaysProposals  bool
	// grantsStoppedAt holds the log index at which grants on a replica ended.
	grantsStoppedAt map[modelOnBackend]fleet.OrderID
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

// follow applies the log, except the last lagEntries entries, and renews the host's lease.
func (h *host) follow(w *simulation) {
	if h.cutOff {
		return
	}
	for h.applied < len(w.log)-h.lagEntries {
		h.state.Apply(fleet.Index(h.applied+1), w.log[h.applied])
		h.applied++
	}
	h.leaseEnd = w.now.Add(sessionLease)
}

func (h *host) step(t *rapid.T, w *simulation) {
	for _, e := range w.engines {
		o := h.owner(e.announcement.ID)
		view := orders.View{State: &h.state, LeaseEnd: h.leaseEnd, Running: func(m fleet.ModelID) int {
			return e.running[m]
		}}
		for _, eff := range o.Step(w.now, view) {
			switch eff := eff.(type) {
			case orders.Propose:
				h.pendingProposals = append(h.pendingProposals, eff.Command)
			case orders.Send:
				w.messages = append(w.messages, &message{host: h, send: eff, sentAt: w.now, sessionNumber: h.sessionNumber})
			case orders.ReadInventory:
				if e.unreachable || e.announcement.Incarnation != eff.Incarnation || w.loseInventories {
					o.RecordInventory(w.now, eff.Read, nil)
					continue
				}
				inv := e.inventory(eff.Fence)
				w.nextSubstep = append(w.nextSubstep, func() { o.RecordInventory(w.now, eff.Read, inv) })
			case orders.StopGrants:
				h.grantsStoppedAt[modelOnBackend{eff.Backend, eff.Model}] = fleet.OrderID(len(w.log) + 1)
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
