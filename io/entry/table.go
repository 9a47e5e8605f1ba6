package entry

import (
	"toucanway/core/capacity"
	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// tableSettings returns the settings of a capacity table that depend on the configuration document.
func (h *Host) tableSettings() capacity.Settings {
	doc, _ := h.follower.Document()
	s := capacity.Settings{
		KVReserve: doc.Capacity.KVReserve,
		Queue:     queue.Settings{Limit: doc.Limits.WaitingPerBackend, Weight: weights(doc)},
		Long:      queue.LongRule{MaxShare: doc.Limits.LongWorkShare},
		Loads:     h.adapterShare(doc),
		Preempt:   true,
	}
	if h.cfg.Policies.ArrivalOrder {
		s.Queue.ArrivalOrder, s.Preempt, s.Long = true, false, queue.LongRule{MaxShare: 1, MinShare: 1}
	}
	return s
}

// weights returns a function that returns the fair-share weight of a tenant.
func weights(doc *config.Document) func(fleet.TenantID) float64 {
	return func(id fleet.TenantID) float64 {
		if t, ok := doc.Tenant(id); ok {
			return float64(t.Weight)
		}
		return 1
	}
}

// adapterShare returns this host's share of the adapter loads that the weight store can serve at once at full speed. They
// are divided evenly among the hosts, since each may own backend servers.
func (h *Host) adapterShare(doc *config.Document) *capacity.LoadShare {
	hosts := 0
	h.follower.Read(func(s *control.State) { hosts = len(s.Sessions()) })
	h.adapterLoads.SetLimit(max(doc.Capacity.WeightStore.AdapterLoadsInFlight/max(hosts, 1), 1))
	return &h.adapterLoads
}
