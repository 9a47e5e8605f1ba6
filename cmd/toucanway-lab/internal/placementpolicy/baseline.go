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

// policy is what the event loop asks for decisions.
type policy interface {
	ObserveDemand(time.Time, placement.Demand)
	ObserveInventory(time.Time, fleet.Inventory)
	ObserveLoad(time.Time, placement.LoadResult)
	Round(time.Time, *control.State) []control.Command
}

// firstFit is the baseline: it loads a model on the first engine with room when a request waits, one replica for each
// eight waiting or running requests, and unloads a replica ten minutes after the model's last request. It knows neither
// caches nor the store's budget.
type firstFit struct {
	catalogue placement.Catalogue
	timeout   time.Duration
	hosts     map[fleet.HostID]placement.Demand
	last      map[fleet.ModelID]time.Time
}

func newFirstFit(c placement.Catalogue) *firstFit {
	return &firstFit{
		catalogue: c, timeout: 10 * time.Minute, hosts: map[fleet.HostID]placement.Demand{}, last: map[fleet.ModelID]time.Time{},
	}
}

func (f *firstFit) ObserveDemand(now time.Time, d placement.Demand) {
	f.hosts[d.Host] = d
	for _, e := range d.Entries {
		f.last[e.Target.Model] = now
	}
}

func (f *firstFit) ObserveInventory(time.Time, fleet.Inventory) {}

func (f *firstFit) ObserveLoad(time.Time, placement.LoadResult) {}

func (f *firstFit) Round(now time.Time, s *control.State) []control.Command {
	backends := s.Backends()
	out := ownership.Assign(s.Sessions(), backends, func(fleet.BackendID) bool { return false }, 0)
	demand := map[fleet.ModelID]int{}
	for _, d := range f.hosts {
		for _, e := range d.Entries {
			demand[e.Target.Model] += e.Waiting + e.Running
		}
	}
	pending := map[fleet.BackendID]fleet.Bytes{}
	for _, m := range f.catalogue.Models {
		records := s.Replicas(m.ID)
		var ready []control.Replica
		live := 0
		for _, r := range records {
			switch r.State {
			case control.ReplicaReady:
				ready = append(ready, r)
				live++
			case control.ReplicaIntended, control.ReplicaSent:
				live++
			}
		}
		want := max(m.Minimum, (demand[m.ID]+7)/8)
		if now.Sub(f.last[m.ID]) < f.timeout {
			want = max(want, live)
		}
		want = min(want, 8)
		if t := want + len(records) - live; t != s.Target(m.ID) {
			out = append(out, &control.SetTarget{Model: m.ID, Count: t})
		}
		for i := want; i < live && len(ready) > 0; i++ {
			out = append(out, &control.DecideUnload{Order: ready[len(ready)-1].Order})
			ready = ready[:len(ready)-1]
		}
		reserve := m.KVPerToken * 4096
		for i := live; i < want; i++ {
			if b := f.first(s, backends, pending, &m, reserve); b != nil {
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

func (f *firstFit) first(s *control.State, backends []control.Backend, pending map[fleet.BackendID]fleet.Bytes, m *placement.Model, reserve fleet.Bytes) *control.Backend {
	for i := range backends {
		b := &backends[i]
		id := b.Announcement.ID
		on := s.ReplicasOn(id)
		has := slices.ContainsFunc(on, func(r control.Replica) bool { return r.Model == m.ID })
		need := s.MemoryOn(id) + pending[id] + m.Memory + reserve + reserve*fleet.Bytes(len(on))
		if !b.Lost && b.Owner != "" && !has && need <= b.Announcement.Memory {
			return b
		}
	}
	return nil
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
