package orders_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/orders"
	"toucanway/core/placement"
	"toucanway/core/store"
	"toucanway/core/warm"
)

const (
	loadDeadline  = 40 * time.Second
	maxOrderDelay = 5 * time.Minute
	sessionLease  = 3 * time.Second
	storeRate     = 2
	storeLimit    = 2
	substep       = 500 * time.Millisecond
)

// TestMain fixes rapid's seed. For a long run: go test ./core/orders -run Machine -rapid.checks=20000 -rapid.seed=7.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.steps": "60"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// simulation simulates a control log with hosts, engines and the network between them.
type simulation struct {
	now               time.Time
	log               [][]byte
	state             control.State
	planner           *placement.Planner
	catalogue         placement.Catalogue
	hosts             []*host
	engines           []*engine
	messages          []*message
	nextSubstep       []func()
	deliverAtOnce     bool
	loseInventories   bool
	nextPlanningRound time.Time
	decidedAt         []time.Time
	demandSeq         uint64
	demand            map[fleet.ModelID]int
}

func loadResult(m orders.LoadFinished) placement.LoadResult {
	return placement.LoadResult{
		Order: m.Order, Model: m.Model, Backend: m.Backend, Incarnation: m.Incarnation, Tier: m.Tier, Took: m.Took, Failed: m.Failed,
	}
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{now: time.Unix(1_000_000, 0), deliverAtOnce: true, demand: map[fleet.ModelID]int{}}
	for i := range 5 {
		w.catalogue.Models = append(w.catalogue.Models, placement.Model{
			ID: fleet.ModelID(fmt.Sprintf("m%d", i)), Version: "v1", Memory: 10 * fleet.GiB, Minimum: min(1, i%3), Maximum: 4,
			LoadTime: [3]time.Duration{0, 0, 20 * time.Second},
		})
	}
	w.newPlanner()
	for i := range 3 {
		h := &host{id: fleet.HostID(fmt.Sprintf("h%d", i)), owners: map[fleet.BackendID]*orders.Owner{}, grantsStoppedAt: map[modelOnBackend]fleet.OrderID{}}
		w.hosts = append(w.hosts, h)
		w.openSession(t, h)
	}
	for i := range 4 {
		e := &engine{simulation: w, recordsFence: i == 0, announcement: fleet.Announcement{
			ID: fleet.BackendID(fmt.Sprintf("e%d", i)), Memory: 25 * fleet.GiB, Slots: 4, ChecksFence: i%2 == 0,
		}}
		e.restart(t)
		w.engines = append(w.engines, e)
		w.apply(t, &control.PutBackend{Announcement: e.announcement})
	}
	return w
}

func (w *simulation) newPlanner() {
	w.planner = placement.New(placement.Settings{Catalogue: w.catalogue, Store: store.Settings{Rate: storeRate, Concurrency: storeLimit},
		Warm: warm.Settings{KeepTime: 20 * time.Second}})
}

func (w *simulation) openSession(t *rapid.T, h *host) {
	h.incarnation++
	h.sessionNumber++
	h.owners, h.pendingProposals, h.grantsStoppedAt = map[fleet.BackendID]*orders.Owner{}, nil, map[modelOnBackend]fleet.OrderID{}
	w.apply(t, &control.OpenSession{Host: h.id, Incarnation: h.incarnation})
	h.leaseEnd = w.now.Add(sessionLease)
}

func (w *simulation) apply(t *rapid.T, c control.Command) control.Result {
	data, err := control.Encode(control.Proposal{Command: c})
	if err != nil {
		t.Fatal(err)
	}
	w.log = append(w.log, data)
	res := w.state.Apply(fleet.Index(len(w.log)), data)
	t.Logf("%v %d %T%+v %s", w.now.Unix()-1e6, res.Index, c, c, res.Reason)
	return res
}

func (w *simulation) scheduleAnswer(m *message, out fleet.OrderOutcome) {
	if m.host.sessionNumber == m.sessionNumber {
		w.nextSubstep = append(w.nextSubstep, func() { m.host.owner(m.send.Backend).RecordOutcome(w.now, m.send.Order.ID, out) })
	}
}

func (w *simulation) engine(id fleet.BackendID) *engine {
	for _, e := range w.engines {
		if e.announcement.ID == id {
			return e
		}
	}
	return nil
}

// deliver delivers an order to its engine. An order to an earlier incarnation of the engine is lost with its connection.
func (w *simulation) deliver(t *rapid.T, m *message) {
	e := w.engine(m.send.Backend)
	if e.unreachable || e.announcement.Incarnation != m.send.Incarnation {
		return
	}
	e.receiveOrder(t, m)
}

// advance advances the time in steps of substep.
func (w *simulation) advance(t *rapid.T, d time.Duration) {
	for ; d > 0; d -= substep {
		w.now = w.now.Add(substep)
		for _, e := range w.engines {
			e.finishLoads()
		}
		later := w.nextSubstep
		w.nextSubstep = nil
		for _, f := range later {
			f()
		}
		if w.deliverAtOnce {
			messages := w.messages
			w.messages = nil
			for _, m := range messages {
				w.deliver(t, m)
			}
		}
		// No message is delayed longer than the bound that owners rely on.
		for len(w.messages) > 0 && w.now.Sub(w.messages[0].sentAt) > maxOrderDelay {
			w.messages = w.messages[1:]
		}
		for _, h := range w.hosts {
			h.follow(w)
			if w.now.Before(h.leaseEnd) {
				h.step(t, w)
			}
			if _, ok := w.state.Session(h.id); ok && h.cutOff && w.now.Sub(h.leaseEnd) > sessionLease/10 {
				w.apply(t, &control.CloseSession{Host: h.id, Incarnation: h.incarnation})
			}
		}
		w.plan(t)
		w.check(t)
	}
}

func (w *simulation) plan(t *rapid.T) {
	if w.now.Before(w.nextPlanningRound) {
		return
	}
	w.nextPlanningRound = w.now.Add(time.Second)
	w.demandSeq++
	d := placement.Demand{Host: "h0", Incarnation: 1, Seq: w.demandSeq}
	for _, m := range w.catalogue.Models {
		if n := w.demand[m.ID]; n > 0 {
			d.Entries = append(d.Entries, placement.DemandEntry{
				Target: fleet.Target{Model: m.ID}, Class: fleet.ClassStandard, Waiting: n, Calls: n, TimeToDeadline: time.Minute,
			})
		}
	}
	w.planner.ObserveDemand(w.now, d)
	for _, c := range w.planner.Round(w.now, &w.state) {
		if res := w.apply(t, c); res.Reason != "" {
			continue
		}
		if _, ok := c.(*control.DecideLoad); ok {
			w.decidedAt = append(w.decidedAt, w.now)
		}
	}
	for len(w.decidedAt) > 0 && w.now.Sub(w.decidedAt[0]) >= time.Second {
		w.decidedAt = w.decidedAt[1:]
	}
	if len(w.decidedAt) > storeRate {
		t.Fatalf("%d loads were decided within a second; the store budget allows %d", len(w.decidedAt), storeRate)
	}
}

// check compares the models loaded on engines with the records, and the loads from the store with its limit.
func (w *simulation) check(t *rapid.T) {
	fromStore := 0
	for _, e := range w.engines {
		var sum fleet.Bytes
		records := map[fleet.ModelID]bool{}
		for _, r := range w.state.ReplicasOn(e.announcement.ID) {
			records[r.Model] = r.Incarnation == e.announcement.Incarnation
		}
		for id, loaded := range e.models {
			sum += loaded.memory
			if !loaded.restored && !records[id] {
				t.Fatalf("%s has loaded %s by order %d, but there is no record of it", e.announcement.ID, id, loaded.order)
			}
			if !loaded.restored && !loaded.late && e.loading(loaded) {
				fromStore++
			}
		}
		if sum > e.announcement.Memory {
			t.Fatalf("%s uses %d GiB, but has only %d", e.announcement.ID, sum/fleet.GiB, e.announcement.Memory/fleet.GiB)
		}
	}
	if fromStore > storeLimit {
		t.Fatalf("%d loads from the store are in flight; the store budget allows %d", fromStore, storeLimit)
	}
}

// Guards against loads without a decision, overcommitted memory, interrupted requests and records that stay in doubt for
// ever, while owners and the leader change, orders arrive minutes late or twice, and engines restart with other models.
func TestMachineKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		pickHost := func() *host { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
		pickEngine := func() *engine { return w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")] }
		pickModel := func() fleet.ModelID {
			return w.catalogue.Models[rapid.IntRange(0, len(w.catalogue.Models)-1).Draw(t, "model")].ID
		}
		pickMessage := func() int {
			if len(w.messages) == 0 {
				t.Skip("no message")
			}
			return rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
		}
		for _, m := range w.catalogue.Models {
			w.demand[m.ID] = rapid.IntRange(0, 20).Draw(t, "waiting")
		}
		w.advance(t, 30*time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"pass time":    func(t *rapid.T) { w.advance(t, time.Duration(rapid.IntRange(1, 20).Draw(t, "s"))*time.Second) },
			"pass minutes": func(t *rapid.T) { w.advance(t, time.Duration(rapid.IntRange(1, 4).Draw(t, "m"))*time.Minute) },
			"set demand":   func(t *rapid.T) { w.demand[pickModel()] = rapid.IntRange(0, 60).Draw(t, "waiting") },
			"hold orders":  func(t *rapid.T) { w.deliverAtOnce = !w.deliverAtOnce },
			"deliver one": func(t *rapid.T) {
				i := pickMessage()
				m := w.messages[i]
				if rapid.Bool().Draw(t, "once") {
					w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
				}
				w.deliver(t, m)
			},
			"lose one": func(t *rapid.T) {
				i := pickMessage()
				w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
			},
			"lose inventories": func(t *rapid.T) { w.loseInventories = !w.loseInventories },
			"lag":              func(t *rapid.T) { pickHost().lagEntries = rapid.IntRange(0, 6).Draw(t, "entries") },
			"hold proposals":   func(t *rapid.T) { h := pickHost(); h.delaysProposals = !h.delaysProposals },
			"cut off host":     func(t *rapid.T) { pickHost().cutOff = true },
			"restart host": func(t *rapid.T) {
				h := pickHost()
				h.cutOff, h.delaysProposals = false, false
				w.openSession(t, h)
			},
			"change leader": func(t *rapid.T) {
				w.newPlanner()
			},
			"move owner": func(t *rapid.T) {
				b, _ := w.state.Backend(pickEngine().announcement.ID)
				w.apply(t, &control.AssignOwner{Backend: b.Announcement.ID, Owner: pickHost().id, Expected: b.Fence})
			},
			"unload one": func(t *rapid.T) {
				if all := w.state.AllReplicas(); len(all) > 0 {
					w.apply(t, &control.DecideUnload{Order: all[rapid.IntRange(0, len(all)-1).Draw(t, "replica")].Order})
				}
			},
			"run requests": func(t *rapid.T) { w.setRunning(t) },
			"restart engine": func(t *rapid.T) {
				e := pickEngine()
				e.restart(t)
				w.apply(t, &control.PutBackend{Announcement: e.announcement})
			},
			"cut off engine": func(t *rapid.T) {
				e := pickEngine()
				e.unreachable = true
				w.apply(t, &control.RemoveBackend{Backend: e.announcement.ID, Incarnation: e.announcement.Incarnation})
			},
			"reconnect engine": func(t *rapid.T) {
				e := pickEngine()
				e.unreachable = false
				w.apply(t, &control.PutBackend{Announcement: e.announcement})
			},
			"": func(t *rapid.T) { w.check(t) },
		})
		w.recoverAndCheck(t)
	})
}

// setRunning changes the number of requests on a replica. New ones need grants, which are stopped before an unload.
func (w *simulation) setRunning(t *rapid.T) {
	all := w.state.AllReplicas()
	if len(all) == 0 {
		t.Skip("no replica")
	}
	r := all[rapid.IntRange(0, len(all)-1).Draw(t, "replica")]
	e, n := w.engine(r.Backend), rapid.IntRange(0, 2).Draw(t, "n")
	b, _ := w.state.Backend(r.Backend)
	for _, h := range w.hosts {
		if h.id == b.Owner && h.grantsStoppedAt[modelOnBackend{r.Backend, r.Model}] > r.Order {
			return
		}
	}
	if n < e.running[r.Model] || r.State == control.ReplicaReady && e.models[r.Model] != nil {
		e.running[r.Model] = n
	}
}

// recoverAndCheck ends all faults and then requires that every record is settled and every minimum is met.
func (w *simulation) recoverAndCheck(t *rapid.T) {
	w.deliverAtOnce, w.loseInventories = true, false
	clear(w.demand)
	for _, h := range w.hosts {
		h.lagEntries, h.delaysProposals = 0, false
		if h.cutOff {
			h.cutOff = false
			w.openSession(t, h)
		}
	}
	for _, e := range w.engines {
		clear(e.running)
		e.unreachable = false
		w.apply(t, &control.PutBackend{Announcement: e.announcement})
	}
	w.advance(t, 2*maxOrderDelay+10*time.Minute)
	for _, m := range w.catalogue.Models {
		if n := len(w.state.Replicas(m.ID)); n < m.Minimum {
			t.Fatalf("%s has %d replicas, want %d: %+v", m.ID, n, m.Minimum, w.planner.Unmet())
		}
		for _, r := range w.state.Replicas(m.ID) {
			if e := w.engine(r.Backend); r.State != control.ReplicaReady || e.models[m.ID] == nil {
				t.Fatalf("record %+v is not settled", r)
			}
		}
	}
}
