package planning

import (
	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/core/placement"
	"toucanway/core/store"
	"toucanway/core/warm"
)

// settingsOf converts the configuration document to settings of the planner.
func settingsOf(doc *config.Document, version fleet.DocumentVersion, seed uint64, p Policies) placement.Settings {
	s := placement.Settings{
		Catalogue: catalogueOf(doc, version),
		Store:     store.SettingsForRate(doc.Capacity.WeightStore.LoadsPerSecond, doc.Capacity.WeightStore.ConcurrentLoads),
		Seed:      seed,
	}
	if p.KeepWarm > 0 {
		s.Warm = warm.Settings{Policy: warm.PolicyFixed, KeepTime: p.KeepWarm}
	}
	return s
}

func catalogueOf(doc *config.Document, version fleet.DocumentVersion) placement.Catalogue {
	c := placement.Catalogue{Version: version}
	for i := range doc.Models {
		m := &doc.Models[i]
		var largest fleet.Bytes
		for _, a := range m.Adapters {
			largest = max(largest, a.Memory)
		}
		model := placement.Model{
			ID: m.Name, Version: m.Version(), Role: m.Role, Memory: m.Memory, KVPerToken: m.KVBytesPerToken,
			AdapterMemory: largest, Minimum: m.MinReplicas, Maximum: m.MaxReplicas,
			KeepWarmMin: m.KeepWarm.Min, KeepWarmMax: m.KeepWarm.Max,
		}
		for t := fleet.TierMemory; t <= fleet.TierRemote; t++ {
			model.LoadTime[t] = m.LoadTimes.From(t)
		}
		if m.Pinned {
			model.Pinned = m.MinReplicas
		}
		switch m.Spread {
		case config.SpreadNone:
		case config.SpreadDataCentres:
			model.SpreadDataCentres = m.MinReplicas
		case config.SpreadRegions:
			model.SpreadRegions = m.MinReplicas
		}
		c.Models = append(c.Models, model)
	}
	return c
}
