package residency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

const gigabyte fleet.Bytes = 1e9

// deployment simulates engines that carry out orders, some of them late or without an answer.
type deployment struct {
	t          testing.TB
	rand       *rand.Rand
	now        time.Time
	engineSpec routes.Engine
	planner    *Planner
	// sizes holds the models that any configuration has declared.
	sizes      map[fleet.ModelID]routes.Model
	engines    map[fleet.BackendID]*fakeEngine
	ids        []fleet.BackendID
	delayed    []delayedOrder
	storeLoads []time.Time
	orders     []Order
	// unansweredShare is the share of orders without an answer; half of these are carried out late.
	unansweredShare float64
}

type fakeEngine struct {
	registry.Instance
	acceptedOrders int64
	models         map[fleet.ModelID]map[fleet.AdapterID]bool
	disk           map[fleet.ModelID]bool
	// busyUntil is the time at which the model order in progress will be complete.
	busyUntil time.Time
}

// delayedOrder is an order that the engine receives some time after it was sent.
type delayedOrder struct {
	at    time.Time
	order Order
}

func newDeployment(t testing.TB, seed uint64, engines int, models ...routes.Model) *deployment {
	d := &deployment{
		t: t, rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), engines: map[fleet.BackendID]*fakeEngine{},
		engineSpec: routes.Engine{Weights: 100 * gigabyte, AdapterSlots: 3, StoreRate: 4, Models: models},
		planner:    New(Settings{}), sizes: map[fleet.ModelID]routes.Model{},
	}
	for _, m := range models {
		d.sizes[m.Name] = m
	}
	d.planner.Configure(routes.NewTable(&routes.Configuration{Services: []routes.Service{{Name: "llm", Engine: &d.engineSpec}}}))
	for i := range engines {
		id := fleet.BackendID(fmt.Sprintf("e%d", i))
		d.ids = append(d.ids, id)
		d.engines[id] = &fakeEngine{
			Instance: registry.Instance{ID: id, Incarnation: 1, Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i)},
			models:   map[fleet.ModelID]map[fleet.AdapterID]bool{}, disk: map[fleet.ModelID]bool{},
		}
	}
	return d
}

func model(name string, gb fleet.Bytes) routes.Model {
	return routes.Model{
		Name: fleet.ModelID(name), Weights: gb * gigabyte, StoreLoad: 6 * time.Second, DiskLoad: 800 * time.Millisecond,
		MemoryLoad: 400 * time.Millisecond, Adapters: 8, AdapterSize: gigabyte / 10,
	}
}

// loadModels loads models into an engine's memory without an order.
func (d *deployment) loadModels(e int, names ...fleet.ModelID) {
	for _, n := range names {
		f := d.engines[d.ids[e]]
		f.models[n], f.disk[n] = map[fleet.AdapterID]bool{}, true
	}
}

func (f *fakeEngine) heartbeat(now time.Time) registry.Heartbeat {
	in := f.Instance
	in.Models = nil
	for name, adapters := range f.models {
		m := registry.Model{Name: name}
		for a := range adapters {
			m.Adapters = append(m.Adapters, a)
		}
		in.Models = append(in.Models, m)
	}
	h := registry.Heartbeat{Instance: in, Engine: true, Seq: uint64(now.UnixMilli())}
	for m := range f.disk {
		h.OnDisk = append(h.OnDisk, m)
	}
	return h
}

func (f *fakeEngine) report(now time.Time) Report {
	h := f.heartbeat(now)
	return Report{Accepted: f.acceptedOrders, Busy: now.Before(f.busyUntil), Models: h.Instance.Models, OnDisk: h.OnDisk}
}

// usedMemory returns the memory in use by an engine's models and adapters.
func (d *deployment) usedMemory(f *fakeEngine) fleet.Bytes {
	var sum fleet.Bytes
	for name, adapters := range f.models {
		m := d.sizes[name]
		sum += m.Weights + fleet.Bytes(len(adapters))*m.AdapterSize
	}
	return sum
}

// carryOut carries out an order as an engine does. It fails the test if the order exceeds the engine's memory or adapter slots.
func (d *deployment) carryOut(o Order) Outcome {
	f := d.engines[o.Engine]
	switch {
	case f.Incarnation != o.Incarnation:
		return Rejected
	case d.now.Before(f.busyUntil) || o.Expected != f.acceptedOrders:
		return Conflicting
	}
	adapters, isLoaded := f.models[o.Target.Model]
	switch o.Kind {
	case fleet.OrderLoad:
		if isLoaded {
			return InEffect
		}
		took := 800 * time.Millisecond
		if !f.disk[o.Target.Model] {
			took = 6 * time.Second
			d.storeLoads = append(d.storeLoads, d.now)
		}
		f.models[o.Target.Model] = map[fleet.AdapterID]bool{}
		f.disk[o.Target.Model] = true
		f.busyUntil = d.now.Add(took)
	case fleet.OrderUnload:
		if !isLoaded {
			return InEffect
		}
		delete(f.models, o.Target.Model)
		f.busyUntil = d.now.Add(200 * time.Millisecond)
	case fleet.OrderLoadAdapter:
		if !isLoaded {
			return Rejected
		}
		adapters[o.Target.Adapter] = true
	case fleet.OrderUnloadAdapter:
		if isLoaded {
			delete(adapters, o.Target.Adapter)
		}
		f.acceptedOrders++
		return InEffect
	case fleet.OrderRole:
	}
	f.acceptedOrders++
	require.LessOrEqual(d.t, d.usedMemory(f), d.engineSpec.Weights, "%s was overcommitted by %+v", f.ID, o)
	n := 0
	for _, loaded := range f.models {
		n += len(loaded)
	}
	require.LessOrEqual(d.t, n, d.engineSpec.AdapterSlots, "%s has too many adapters after %+v", f.ID, o)
	return Accepted
}

// lead makes another planner that of the leader; its host has heard of the newest configuration only.
func (d *deployment) lead(p *Planner) {
	spec := d.engineSpec
	d.planner = p
	p.Configure(routes.NewTable(&routes.Configuration{Services: []routes.Service{{Name: "llm", Engine: &spec}}}))
	for _, id := range d.ids {
		h := d.engines[id].heartbeat(d.now)
		p.Observe(d.now, h.Instance, h)
	}
	p.MarkAllInDoubt()
}

// step advances the clock and carries out the planner's actions.
func (d *deployment) step(dt time.Duration) {
	d.now = d.now.Add(dt)
	d.delayed = slices.DeleteFunc(d.delayed, func(l delayedOrder) bool {
		if d.now.Before(l.at) {
			return false
		}
		d.carryOut(l.order)
		return true
	})
	if d.now.UnixMilli()%1000 < dt.Milliseconds() {
		for _, id := range d.ids {
			f := d.engines[id]
			h := f.heartbeat(d.now)
			d.planner.Observe(d.now, h.Instance, h)
		}
	}
	for _, a := range d.planner.Next(d.now) {
		switch a := a.(type) {
		case Probe:
			d.planner.HandleReport(d.now, a, d.engines[a.Engine].report(d.now))
		case Order:
			d.orders = append(d.orders, a)
			if d.rand.Float64() < d.unansweredShare {
				if d.rand.IntN(2) == 0 {
					d.delayed = append(d.delayed, delayedOrder{d.now.Add(2*time.Second + time.Duration(d.rand.IntN(10000))*time.Millisecond), a})
				}
				d.planner.HandleOutcome(d.now, a, Unanswered)
				continue
			}
			d.planner.HandleOutcome(d.now, a, d.carryOut(a))
		}
	}
}

func (d *deployment) run(dt time.Duration) {
	for end := d.now.Add(dt); d.now.Before(end); {
		d.step(50 * time.Millisecond)
	}
}

func (d *deployment) addDemand(n int, targets ...fleet.Target) {
	var list []Demand
	for _, t := range targets {
		list = append(list, Demand{Service: "llm", Target: t, Arrivals: n, Waiting: n})
	}
	d.planner.UpdateDemand(d.now, "host", list)
}

func (d *deployment) replicas(m fleet.ModelID) (n int) {
	for _, f := range d.engines {
		if _, ok := f.models[m]; ok {
			n++
		}
	}
	return n
}

func target(m fleet.ModelID) fleet.Target { return fleet.Target{Model: m} }

// Guards against an overcommitted engine after orders that are carried out late or twice, and against more loads from the weight
// store than its rate allows.
func TestOrdersNeverOvercommit(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			models := []routes.Model{model("a", 40), model("b", 60), model("c", 70), model("d", 30), model("e", 35), model("f", 55)}
			d := newDeployment(t, seed, 4, models...)
			d.unansweredShare = 0.3
			for i := range 4 {
				d.loadModels(i, models[i].Name)
			}
			for range 120 {
				m := models[d.rand.IntN(len(models))].Name
				tg := target(m)
				if d.rand.IntN(3) == 0 {
					tg.Adapter = fleet.AdapterID(fmt.Sprint("a", d.rand.IntN(8)))
				}
				d.addDemand(1+d.rand.IntN(3), tg)
				if d.rand.IntN(40) == 0 {
					f := d.engines[d.ids[d.rand.IntN(len(d.ids))]]
					f.Incarnation++
					f.acceptedOrders, f.busyUntil, f.models = 0, time.Time{}, map[fleet.ModelID]map[fleet.AdapterID]bool{}
				}
				d.run(500 * time.Millisecond)
			}
			for i, at := range d.storeLoads {
				n := 0
				for _, other := range d.storeLoads[i:] {
					if other.Sub(at) < 5*time.Second {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), d.engineSpec.StoreRate*5*1.1+3)
			}
		})
	}
}

// Guards against a model without waiting requests that evicts a model in use: the two would evict each other in turn.
func TestIdleModelEvictsNothing(t *testing.T) {
	d := newDeployment(t, 1, 2, model("hot", 90), model("idle", 90), model("other", 90))
	d.loadModels(0, "hot")
	d.loadModels(1, "other")
	d.run(3 * time.Second)
	for range 20 {
		d.planner.UpdateDemand(d.now, "host", []Demand{
			{Service: "llm", Target: target("hot"), Arrivals: 2}, {Service: "llm", Target: target("idle"), Arrivals: 1},
		})
		d.run(250 * time.Millisecond)
	}
	require.Empty(t, d.orders)
}

// Guards against a request for a model without replicas that waits for ever, and against the eviction of a busy model where an
// idle one would do.
func TestWaitingModelEvictsIdleOne(t *testing.T) {
	d := newDeployment(t, 1, 2, model("hot", 90), model("idle", 90), model("wanted", 90))
	d.loadModels(0, "hot")
	d.loadModels(1, "idle")
	d.run(2 * time.Second)
	for range 40 {
		d.planner.UpdateDemand(d.now, "host", []Demand{
			{Service: "llm", Target: target("hot"), Arrivals: 2}, {Service: "llm", Target: target("wanted"), Waiting: 1},
		})
		d.run(250 * time.Millisecond)
	}
	require.Equal(t, 1, d.replicas("hot"))
	require.Equal(t, 1, d.replicas("wanted"))
}

// Guards against the eviction of the only ready replica while another one is still being loaded from the weight store, which
// leaves a busy model without a replica for about five seconds.
func TestLoadingReplicaDoesNotCountAsReady(t *testing.T) {
	d := newDeployment(t, 1, 2, model("hot", 40), model("idle", 40))
	d.loadModels(0, "hot", "idle")
	d.loadModels(1, "hot")
	d.run(2 * time.Second)
	d.planner.UpdateDemand(d.now, "host", []Demand{{Service: "llm", Target: target("hot"), Arrivals: 1}})
	cost := func() float64 {
		e := d.planner.engines["e0"]
		d.planner.countReplicas()
		return d.planner.evictionCost(d.now, e, "hot", e.models["hot"], d.planner.modelDemands(d.now))
	}
	costWithSecondReplica := cost()
	d.planner.engines["e1"].models["hot"].phase = loading
	costOfOnlyReplica := cost()
	require.Greater(t, costOfOnlyReplica, costWithSecondReplica)
	delete(d.planner.engines["e1"].models, "hot")
	require.Equal(t, cost(), costOfOnlyReplica)
}

// Guards against a further replica for a peak that ends before the load is complete. The more often hosts report, the more such
// peaks the planner receives, and each needless replica evicts rarely used models.
func TestShortPeakLoadsNoReplica(t *testing.T) {
	tests := map[string]struct {
		// every is the period of the peaks in planning passes; requests are in flight during the first two passes of each period.
		every int
		want  int
	}{
		"peaks":     {every: 30, want: 1},
		"sustained": {every: 2, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1, 2, model("hot", 40))
			d.loadModels(0, "hot")
			d.engines["e1"].disk["hot"] = true
			d.run(2 * time.Second)
			for i := range 100 {
				running := map[fleet.Target]int{}
				if i%tt.every < 2 {
					running[target("hot")] = 15
				}
				d.planner.UpdateDemand(d.now, "host", []Demand{{Service: "llm", Target: target("hot"), Arrivals: 1}})
				d.planner.UpdateLoad("e0", running, false)
				d.step(50 * time.Millisecond)
			}
			require.Equal(t, tt.want, d.replicas("hot"))
		})
	}
}

// Guards against a load goal that stays assigned to an engine that accepts no orders, which keeps the model from being loaded
// elsewhere.
func TestGoalOfUnreachableEngineIsGivenUp(t *testing.T) {
	d := newDeployment(t, 1, 2, model("wanted", 50))
	d.engines["e0"].disk["wanted"] = true
	d.run(1500 * time.Millisecond)
	d.addDemand(1, target("wanted"))
	d.planner.engines["e0"].goal, d.planner.engines["e0"].goalAt = "wanted", d.now
	d.planner.engines["e0"].callInFlight = true
	d.run(9 * time.Second)
	require.Equal(t, 1, d.replicas("wanted"))
}

// Guards against counting the replicas of an unreachable engine as ready.
func TestSuspectEngineDoesNotCount(t *testing.T) {
	d := newDeployment(t, 1, 2, model("m", 50))
	d.loadModels(0, "m")
	d.run(2 * time.Second)
	d.planner.UpdateLoad("e0", nil, true)
	for range 40 {
		d.planner.UpdateLoad("e0", nil, true)
		d.addDemand(1, target("m"))
		d.run(250 * time.Millisecond)
	}
	require.Equal(t, 2, d.replicas("m"))
}

// Guards against an adapter that is loaded at several engines for one request, and against one that is never loaded because all
// adapter slots are in use.
func TestOneAdapterLoadPerRequest(t *testing.T) {
	d := newDeployment(t, 1, 2, model("m", 50))
	d.loadModels(0, "m")
	d.loadModels(1, "m")
	d.run(2 * time.Second)
	for i := range 9 {
		d.addDemand(1, fleet.Target{Model: "m", Adapter: fleet.AdapterID(fmt.Sprint("a", i))})
		d.run(500 * time.Millisecond)
	}
	loads := 0
	for _, o := range d.orders {
		if o.Kind == fleet.OrderLoadAdapter {
			loads++
		}
	}
	require.Equal(t, 9, loads)
}

// Guards against the unload of an adapter in use: the engine waits for the request's end and accepts no other orders until then,
// so that requests are refused for about three seconds.
func TestAdapterInUseIsNotUnloaded(t *testing.T) {
	d := newDeployment(t, 1, 1, model("m", 50))
	d.loadModels(0, "m")
	d.run(2 * time.Second)
	for i := range 3 {
		d.addDemand(1, fleet.Target{Model: "m", Adapter: fleet.AdapterID(fmt.Sprint("a", i))})
		d.run(time.Second)
	}
	d.planner.UpdateLoad("e0", map[fleet.Target]int{{Model: "m", Adapter: "a0"}: 1, {Model: "m", Adapter: "a1"}: 2}, false)
	d.addDemand(1, fleet.Target{Model: "m", Adapter: "a7"})
	d.run(time.Second)
	adapters := d.engines["e0"].models["m"]
	require.Equal(t, map[fleet.AdapterID]bool{"a0": true, "a1": true, "a7": true}, adapters)
}

// Guards against another order to an engine after an unanswered one before a report has shown the engine's state.
func TestInDoubtEngineIsProbedFirst(t *testing.T) {
	d := newDeployment(t, 1, 1, model("m", 50), model("n", 40))
	d.run(2 * time.Second)
	d.addDemand(1, target("m"))
	d.now = d.now.Add(50 * time.Millisecond)
	actions := d.planner.Next(d.now)
	require.Len(t, actions, 1)
	o := actions[0].(Order)
	d.planner.HandleOutcome(d.now, o, Unanswered)
	d.addDemand(1, target("m"), target("n"))
	require.Empty(t, d.planner.Next(d.now.Add(100*time.Millisecond)))
	actions = d.planner.Next(d.now.Add(time.Second))
	require.Len(t, actions, 1)
	require.IsType(t, Probe{}, actions[0])
}

// Guards against a load from the weight store whose engine has evicted a model for it and then finds the store taken by a load for
// fewer requests, so that neither model can be served.
func TestEvictionHoldsPlaceAtStore(t *testing.T) {
	d := newDeployment(t, 1, 2, model("idle", 60), model("wanted", 90), model("rare", 45), model("small", 50))
	d.loadModels(0, "idle")
	d.loadModels(1, "small")
	d.run(2 * time.Second)
	for i := range 12 {
		list := []Demand{{Service: "llm", Target: target("wanted"), Waiting: 20}, {Service: "llm", Target: target("small"), Arrivals: 40}}
		if i > 0 {
			list = append(list, Demand{Service: "llm", Target: target("rare"), Waiting: 1})
		}
		d.planner.UpdateDemand(d.now, "host", list)
		d.run(250 * time.Millisecond)
	}
	var loads []fleet.ModelID
	for _, o := range d.orders {
		if o.Kind == fleet.OrderLoad {
			loads = append(loads, o.Target.Model)
		}
	}
	require.NotEmpty(t, loads)
	require.Equal(t, fleet.ModelID("wanted"), loads[0])
}

// Guards against a new leader that adds loads from the weight store to those that the one before began, which slows all of them.
func TestLoadsOfEarlierLeaderCount(t *testing.T) {
	d := newDeployment(t, 1, 8, model("a", 90), model("b", 90), model("c", 90))
	d.planner.MarkAllInDoubt()
	d.run(100 * time.Millisecond)
	for _, e := range d.ids[:2] {
		d.engines[e].busyUntil = d.now.Add(6 * time.Second)
	}
	d.run(1100 * time.Millisecond)
	d.planner.MarkAllInDoubt()
	d.run(1500 * time.Millisecond)
	require.Equal(t, 2, d.planner.activeStoreLoads())
	d.addDemand(1, target("a"))
	d.run(500 * time.Millisecond)
	require.Empty(t, d.storeLoads, "two of eight engines load from the store already")
	d.run(8 * time.Second)
	d.addDemand(1, target("a"))
	d.run(500 * time.Millisecond)
	require.Len(t, d.storeLoads, 1)
}
