package engine

import (
	"toucanway/core/config"
	"toucanway/core/fleet"
)

// ModelsOf returns the models that a configuration document declares, as engine settings.
func ModelsOf(d *config.Document) map[fleet.ModelID]Model {
	out := make(map[fleet.ModelID]Model, len(d.Models))
	for i := range d.Models {
		m := &d.Models[i]
		model := Model{Weights: m.Memory, KVPerToken: m.KVBytesPerToken, AdapterMemory: map[fleet.AdapterID]fleet.Bytes{}}
		for _, t := range []fleet.Tier{fleet.TierMemory, fleet.TierDisk, fleet.TierRemote} {
			model.LoadTimes[t] = m.LoadTimes.From(t)
		}
		for _, a := range m.Adapters {
			model.AdapterMemory[a.Name] = a.Memory
		}
		out[m.Name] = model
	}
	return out
}
