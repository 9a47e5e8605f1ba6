package placementpolicy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/ownership"
	"toucanway/core/placement"
)

// policy makes the placement decisions in the event loop.
type policy interface {
	ObserveDemand(time.Time, placement.Demand)
	ObserveInventory(time.Time, fleet.Inventory)
	ObserveLoad(time.Time, placement.LoadResult)
	Round(time.Time, *control.State) []control.Command
}

// firstFit is the baseline policy. It places models on the first engine with enough memory, with one replica for each eight
// waiting or running requests, and unloads replicas ten minutes after the model's last request. It ignores checkpoint caches
// and the limits of the weight store.
type firstFit struct {
	catalogue   placement.Catalogue
	idleTimeout time.Duration
	demand      map[fleet.HostID]placement.Demand
	lastCall    map[fleet.ModelID]time.Time
}

func newFirstFit(c placement.Catalogue) *firstFit {
	return &firstFit{
		catalogue: c, idleTimeout: 10 * time.Minute, demand: map[fleet.HostID]placement.Demand{}, lastCall: map[fleet.ModelID]time.Time{},
	}
}

func (f *firstFit) ObserveDemand(now time.Time, d placement.Demand) {
	f.demand[d.Host] = d
	for _, e := range d.Entries {
		f.lastCall[e.Target.Model] = now
	}
}

func (f *firstFit) ObserveInventory(time.Time, fleet.Inventory) {}

func (f *firstFit) ObserveLoad(time.Time, placement.LoadResult) {}

func (f *firstFit) Round(now time.Time, s *control.State) []control.Command {
	backends := s.Backends()
	out := ownership.Assign(s.Sessions(), backends, func(fleet.BackendID) bool { return false }, 0)
	demand := map[fleet.ModelID]int{}
	for _, hostDemand := range f.demand {
		for _, e := range hostDemand.Entries {
			demand[e.Target.Model] += e.Waiting + e.Running
		}
	}
	pending := map[fleet.BackendID]fleet.Bytes{}
	for _, m := range f.catalogue.Models {
		records := s.Replicas(m.ID)
		var ready []control.Replica
		loadedOrLoading := 0
		for _, r := range records {
			switch r.State {
			case control.ReplicaReady:
				ready = append(ready, r)
				loadedOrLoading++
			case control.ReplicaIntended, control.ReplicaSent:
				loadedOrLoading++
			}
		}
		want := max(m.Minimum, (demand[m.ID]+7)/8)
		if now.Sub(f.lastCall[m.ID]) < f.idleTimeout {
			want = max(want, loadedOrLoading)
		}
		want = min(want, 8)
		if target := want + len(records) - loadedOrLoading; target != s.ReplicaTarget(m.ID) {
			out = append(out, &control.SetReplicaTarget{Model: m.ID, Count: target})
		}
		for i := want; i < loadedOrLoading && len(ready) > 0; i++ {
			out = append(out, &control.DecideUnload{Order: ready[len(ready)-1].Order})
			ready = ready[:len(ready)-1]
		}
		reserve := m.KVPerToken * 4096
		for i := loadedOrLoading; i < want; i++ {
			if b := f.firstWithMemory(s, backends, pending, &m, reserve); b != nil {
				pending[b.Announcement.ID] += m.Memory + reserve
				out = append(out, &control.DecideLoad{
					Model: m.ID, Version: m.Version, Backend: b.Announcement.ID, Incarnation: b.Announcement.Incarnation,
					Memory: m.Memory, Reserve: reserve,
				})
			}
		}
	}
	return out
}

// firstWithMemory returns the first engine that has enough memory for a replica of a model and has not loaded that model, nil if
// there is none.
func (f *firstFit) firstWithMemory(s *control.State, backends []control.Backend, pending map[fleet.BackendID]fleet.Bytes, m *placement.Model, reserve fleet.Bytes) *control.Backend {
	for i := range backends {
		b := &backends[i]
		id := b.Announcement.ID
		replicas := s.ReplicasOn(id)
		loaded := slices.ContainsFunc(replicas, func(r control.Replica) bool { return r.Model == m.ID })
		need := s.MemoryOn(id) + pending[id] + m.Memory + reserve + reserve*fleet.Bytes(len(replicas))
		if !b.Lost && b.Owner != "" && !loaded && need <= b.Announcement.Memory {
			return b
		}
	}
	return nil
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
