package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/store"
)

// testCluster is a control state with hosts and engines, and a clock that the test advances.
type testCluster struct {
	t     testing.TB
	state control.State
	index fleet.Index
	now   time.Time
}

func newTestCluster(t testing.TB) *testCluster {
	return &testCluster{t: t, now: time.Unix(1_000_000, 0)}
}

func (w *testCluster) apply(c control.Command) control.Result {
	data, err := control.Encode(control.Proposal{Command: c})
	require.NoError(w.t, err)
	w.index++
	return w.state.Apply(w.index, data)
}

func (w *testCluster) mustApply(c control.Command) { require.NoError(w.t, w.apply(c).Err()) }

func place(i, centres int) fleet.Place {
	dc := i % centres
	return fleet.Place{
		Region: fleet.Region(fmt.Sprintf("r%d", dc%3)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", dc)),
		Rack: fleet.Rack(fmt.Sprintf("rack%d", i/centres/20)),
	}
}

func (w *testCluster) addServers(hosts, engines, centres int, memory fleet.Bytes) {
	for i := range hosts {
		w.mustApply(&control.OpenSession{Host: fleet.HostID(fmt.Sprintf("h%04d", i)), Incarnation: 1, Place: place(i, centres)})
	}
	for i := range engines {
		w.mustApply(&control.PutBackend{Announcement: fleet.Announcement{
			ID: fleet.BackendID(fmt.Sprintf("e%04d", i)), Incarnation: 1, Place: place(i, centres), Memory: memory, Slots: 8,
		}})
	}
}

// round advances the clock, runs one planning round and applies its commands, which must all be accepted.
func (w *testCluster) round(p *Planner, step time.Duration) []control.Command {
	w.now = w.now.Add(step)
	out := p.Round(w.now, &w.state)
	for _, c := range out {
		res := w.apply(c)
		require.NoError(w.t, res.Err(), "%T %+v", c, c)
	}
	return out
}

// completeOrders completes all open orders successfully.
func (w *testCluster) completeOrders() {
	for _, r := range w.state.AllReplicas() {
		b, _ := w.state.Backend(r.Backend)
		if b.Lost {
			continue
		}
		report := func(s control.ReplicaState) {
			w.mustApply(&control.ReportOrder{Order: r.Order, Fence: b.Fence, State: s})
		}
		switch r.State {
		case control.ReplicaIntended:
			report(control.ReplicaSent)
			report(control.ReplicaReady)
		case control.ReplicaUnloadIntended:
			report(control.ReplicaUnloadSent)
			report(control.ReplicaGone)
		}
	}
}

func loadCommands(cs []control.Command) (out []*control.DecideLoad) {
	for _, c := range cs {
		if l, ok := c.(*control.DecideLoad); ok {
			out = append(out, l)
		}
	}
	return out
}

func waitingDemand(host int, seq uint64, model fleet.ModelID, n int) Demand {
	return Demand{
		Host: fleet.HostID(fmt.Sprintf("h%04d", host)), Incarnation: 1, Seq: seq,
		Entries: []DemandEntry{{
			Target: fleet.Target{Model: model}, Class: fleet.ClassInteractive, Region: "r0", Waiting: n, Calls: n,
			TimeToDeadline: time.Minute,
		}},
	}
}

func testModel(id fleet.ModelID) Model { return Model{ID: id, Version: "v1", Memory: 10 * fleet.GiB} }

func newPlanner(models ...Model) *Planner {
	return New(Settings{Catalogue: Catalogue{Models: models}, Seed: 1})
}

// Guards against one load per entry host when the first requests of a burst arrive at many hosts at once.
func TestBurstIsOneDecision(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(9, 18, 3, 80*fleet.GiB)
	p := newPlanner(testModel("m"))
	w.round(p, 0)
	w.round(p, 2*time.Second)
	for i := range 9 {
		p.ObserveDemand(w.now, waitingDemand(i, 1, "m", 1))
	}
	got := loadCommands(w.round(p, time.Second))
	require.Len(t, got, 1)
	b, _ := w.state.Backend(got[0].Backend)
	require.Equal(t, fleet.Region("r0"), b.Announcement.Place.Region)
	require.Empty(t, loadCommands(w.round(p, time.Second)))
	left, ok := p.Estimate("m")
	require.True(t, ok)
	require.Positive(t, left)
	require.Equal(t, []Estimate{{Model: "m", Ready: left, Possible: true}}, p.Estimates(waitingDemand(0, 2, "m", 1)))
	w.completeOrders()
	w.round(p, time.Second)
	left, ok = p.Estimate("m")
	require.True(t, ok)
	require.Zero(t, left)
}

// Guards against a load from the weight store, which is slow, when a server has the checkpoint on its disk.
func TestCachedCheckpointIsPreferred(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(3, 18, 3, 80*fleet.GiB)
	p := newPlanner(testModel("m"))
	w.round(p, 0)
	p.ObserveInventory(w.now, fleet.Inventory{
		Backend: "e0013", Incarnation: 1, Seq: 1, Cached: []fleet.CachedCheckpoint{{Model: "m", Tier: fleet.TierDisk}},
	})
	p.ObserveDemand(w.now, waitingDemand(0, 1, "m", 1))
	got := loadCommands(w.round(p, 2*time.Second))
	require.Len(t, got, 1)
	require.Equal(t, fleet.BackendID("e0013"), got[0].Backend)
}

// Guards against more loads than the store budget allows, also right after a change of leader.
func TestStoreBudgetHoldsAcrossLeaders(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(3, 18, 3, 80*fleet.GiB)
	var models []Model
	for i := range 12 {
		m := testModel(fleet.ModelID(fmt.Sprintf("m%02d", i)))
		m.Minimum = 1
		models = append(models, m)
	}
	p := New(Settings{Catalogue: Catalogue{Models: models}, Store: store.Settings{Rate: 3, Concurrency: 4}})
	w.round(p, 0)
	require.Len(t, loadCommands(w.round(p, time.Second)), 3)
	require.Empty(t, loadCommands(w.round(p, 500*time.Millisecond)))
	require.Len(t, loadCommands(w.round(p, 500*time.Millisecond)), 1)
	p = New(Settings{Catalogue: Catalogue{Models: models}, Store: store.Settings{Rate: 3, Concurrency: 4}})
	require.Empty(t, loadCommands(w.round(p, time.Second)))
	require.Empty(t, loadCommands(w.round(p, 2*time.Second)), "four loads are in flight already")
	w.completeOrders()
	require.Len(t, loadCommands(w.round(p, time.Second)), 3)
	require.NotEmpty(t, p.Unmet())
}

// Guards against the eviction of a replica that a waiting request needs, and against giving memory freed for one model to
// another.
func TestEvictionSparesNeededReplicas(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(2, 2, 1, 12*fleet.GiB)
	p := newPlanner(testModel("a"), testModel("b"), testModel("c"))
	w.round(p, 0)
	p.ObserveDemand(w.now, waitingDemand(0, 1, "a", 1))
	p.ObserveDemand(w.now, waitingDemand(1, 1, "b", 1))
	w.round(p, 2*time.Second)
	w.completeOrders()
	d := waitingDemand(0, 2, "a", 1)
	d.Entries = append(d.Entries, waitingDemand(0, 2, "c", 1).Entries...)
	p.ObserveDemand(w.now, d)
	p.ObserveDemand(w.now, Demand{Host: "h0001", Incarnation: 1, Seq: 2})
	w.round(p, time.Second)
	w.completeOrders()
	require.Len(t, w.state.Replicas("a"), 1)
	require.Empty(t, w.state.Replicas("b"))
	w.round(p, time.Second)
	require.Len(t, w.state.Replicas("c"), 1)
}

// Guards against a time without any ready replica while a new version replaces the old one.
func TestVersionChangeKeepsReadyReplica(t *testing.T) {
	for name, maximum := range map[string]int{"at its maximum": 2, "single replica": 1, "no maximum": 0} {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t)
			w.addServers(3, 9, 3, 80*fleet.GiB)
			m := testModel("m")
			m.Minimum, m.Maximum = 2, maximum
			if maximum == 1 {
				m.Minimum = 1
			}
			p := newPlanner(m)
			for range 5 {
				w.round(p, time.Second)
				w.completeOrders()
			}
			m.Version = "v2"
			p.SetCatalogue(w.now, Catalogue{Models: []Model{m}})
			for range 12 {
				w.round(p, time.Second)
				ready := 0
				for _, r := range w.state.Replicas("m") {
					if r.State == control.ReplicaReady {
						ready++
					}
				}
				require.GreaterOrEqual(t, ready, 1)
				if maximum > 1 {
					require.LessOrEqual(t, len(w.state.Replicas("m")), maximum)
				}
				w.completeOrders()
			}
			got := w.state.Replicas("m")
			require.Len(t, got, m.Minimum)
			for _, r := range got {
				require.Equal(t, fleet.ModelVersion("v2"), r.Version)
			}
		})
	}
}

// Guards against replacing lost replicas before the hold time ends, and against keeping the surplus replica once the lost
// ones return.
func TestLostReplicaIsReplacedAfterHoldTime(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(3, 9, 3, 80*fleet.GiB)
	m := testModel("m")
	m.Minimum, m.SpreadDataCentres = 2, 2
	p := newPlanner(m)
	for range 5 {
		w.round(p, time.Second)
		w.completeOrders()
	}
	got := w.state.Replicas("m")
	require.Len(t, got, 2)
	a, _ := w.state.Backend(got[0].Backend)
	b, _ := w.state.Backend(got[1].Backend)
	require.NotEqual(t, a.Announcement.Place.DataCentre, b.Announcement.Place.DataCentre)
	w.mustApply(&control.RemoveBackend{Backend: got[0].Backend, Incarnation: 1})
	for range 29 {
		require.Empty(t, loadCommands(w.round(p, time.Second)))
	}
	for range 5 {
		w.round(p, time.Second)
		w.completeOrders()
	}
	require.Len(t, w.state.Replicas("m"), 3)
	w.mustApply(&control.PutBackend{Announcement: a.Announcement})
	w.round(p, time.Second)
	back, _ := w.state.Backend(got[0].Backend)
	w.mustApply(&control.SettleInventory{
		Backend: got[0].Backend, Incarnation: 1, Fence: back.Fence, Before: w.index,
		Models: []fleet.LoadedModel{{Model: "m", Version: "v1", State: fleet.ReplicaReady, Memory: m.Memory}},
	})
	for range 3 {
		w.round(p, time.Second)
		w.completeOrders()
	}
	require.Len(t, w.state.Replicas("m"), 2)
}

// Guards against loading and unloading a model more than six times an hour.
func TestCyclesPerHourAreBounded(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(3, 9, 3, 80*fleet.GiB)
	p := newPlanner(testModel("m"))
	p.cfg.WaitCost = 1e-9
	seq, loadCount := uint64(0), 0
	for i := range 3600 {
		d := Demand{Host: "h0000", Incarnation: 1}
		if i%180 == 0 {
			d = waitingDemand(0, 0, "m", 1)
		}
		seq++
		d.Seq = seq
		p.ObserveDemand(w.now, d)
		loadCount += len(loadCommands(w.round(p, time.Second)))
		w.completeOrders()
	}
	require.LessOrEqual(t, loadCount, 7)
	require.Greater(t, loadCount, 2)
}

// Guards against a spread that stays unmet after an engine in another data centre has joined.
func TestSpreadIsRepaired(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(3, 3, 1, 80*fleet.GiB)
	m := testModel("m")
	m.Minimum, m.SpreadDataCentres = 2, 2
	p := newPlanner(m)
	for range 5 {
		w.round(p, time.Second)
		w.completeOrders()
	}
	require.Len(t, w.state.Replicas("m"), 2)
	require.Equal(t, []UnmetBound{{Model: "m", Bound: "spread-data-centres", Want: 2, Have: 1, Reason: p.Unmet()[0].Reason}}, p.Unmet())
	w.mustApply(&control.PutBackend{Announcement: fleet.Announcement{
		ID: "new", Incarnation: 1, Place: fleet.Place{Region: "r9", DataCentre: "dc9"}, Memory: 80 * fleet.GiB,
	}})
	for range 6 {
		w.round(p, time.Second)
		w.completeOrders()
	}
	require.Len(t, w.state.Replicas("m"), 2)
	require.Len(t, w.state.ReplicasOn("new"), 1)
	require.Empty(t, p.Unmet())
}

// Guards against loads that ignore the order of priority classes when many models lack replicas at once, as after the loss
// of a data centre.
func TestRecoveryIsInOrderOfClass(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(3, 9, 3, 80*fleet.GiB)
	var models []Model
	for i, class := range []fleet.Class{fleet.ClassBatch, fleet.ClassCritical, fleet.ClassStandard, fleet.ClassInteractive} {
		m := testModel(fleet.ModelID(fmt.Sprintf("m%d", i)))
		m.Minimum, m.Class = 1, class
		models = append(models, m)
	}
	p := newPlanner(models...)
	w.round(p, 0)
	var got []fleet.ModelID
	for range 3 {
		for _, l := range loadCommands(w.round(p, time.Second)) {
			got = append(got, l.Model)
		}
		w.completeOrders()
	}
	require.Equal(t, []fleet.ModelID{"m1", "m3", "m2", "m0"}, got)
}

// Guards against background loads that use up the store budget while requests wait.
func TestBackgroundLoadsYield(t *testing.T) {
	w := newTestCluster(t)
	w.addServers(3, 9, 3, 80*fleet.GiB)
	p := New(Settings{
		Catalogue: Catalogue{Models: []Model{testModel("a"), testModel("b"), testModel("c")}}, Store: store.Settings{Concurrency: 2},
		WaitCost: 0.1,
	})
	for i := range 12 {
		p.ObserveDemand(w.now, waitingDemand(0, uint64(i+1), "a", 0))
		p.ObserveDemand(w.now, Demand{Host: "h0000", Incarnation: 1, Seq: uint64(i + 1)})
		p.warm.Observe(w.now, fleet.Target{Model: "a"})
		w.now = w.now.Add(time.Hour)
	}
	w.round(p, -2*time.Minute)
	require.Equal(t, fleet.ModelID("a"), loadCommands(w.round(p, time.Second))[0].Model, "preloaded before the regular call")
	p.ObserveDemand(w.now, waitingDemand(1, 1, "b", 1))
	p.ObserveDemand(w.now, waitingDemand(2, 1, "c", 1))
	preload := w.state.Replicas("a")[0].Order
	out := w.round(p, time.Second)
	require.Len(t, loadCommands(out), 1)
	require.Contains(t, out, &control.DecideUnload{Order: preload})
	require.Equal(t, fleet.ModelID("c"), loadCommands(w.round(p, time.Second))[0].Model)
}
