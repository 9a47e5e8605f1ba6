package engine

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/store"
	"toucanway/core/fleet"
	"toucanway/io/network"
)

// Defaults of the settings.
const (
	DefaultMemory          = 80 * fleet.GiB
	DefaultSlots           = 16
	DefaultTokenInterval   = 20 * time.Millisecond
	DefaultBatchGrowth     = 0.03
	DefaultPrefillPerToken = 200 * time.Microsecond
	DefaultAdapterMin      = 5 * time.Millisecond
	DefaultAdapterMax      = 10 * time.Millisecond
	DefaultPrefixBlocks    = 4096
	DefaultMaxQueue        = 256
	DefaultReportLag       = time.Second
	DefaultEventLag        = 2 * time.Second
)

// Model is what an engine knows of a model.
type Model struct {
	Weights    fleet.Bytes
	KVPerToken fleet.Bytes
	// Adapter is the memory of adapters that Adapters does not name.
	Adapter  fleet.Bytes
	Adapters map[fleet.AdapterID]fleet.Bytes
	// Load is the load time by the tier of the checkpoint; the time from the remote tier is that at full speed.
	Load [3]time.Duration
}

// DefaultModel is the model of which nothing is declared.
func DefaultModel() Model {
	return Model{
		Weights:    16 * fleet.GiB,
		KVPerToken: 128 * fleet.KiB,
		Adapter:    64 * fleet.MiB,
		Load:       [3]time.Duration{500 * time.Millisecond, 3 * time.Second, 8 * time.Second},
	}
}

// Settings describe an engine; zero fields mean the defaults above.
type Settings struct {
	ID      fleet.BackendID
	Network network.Network
	// Address is IP:PORT; port 0 takes a free one.
	Address string
	Place   fleet.Place
	// Entries are the addresses of the entry hosts that the engine announces itself to.
	Entries []string
	// Incarnation is that of the first life; zero means 1.
	Incarnation fleet.Incarnation
	Memory      fleet.Bytes
	Slots       int
	// ChecksFence announces that stale fencing tokens are refused, and refuses them; without it they are ignored.
	ChecksFence bool
	// RefuseOvercommit refuses what does not fit in memory; without it the excess is carried out and recorded.
	RefuseOvercommit bool
	Models           map[fleet.ModelID]Model
	// Tiers are the checkpoints that are cached at first; others are remote.
	Tiers map[fleet.ModelID]fleet.Tier
	// MemoryCheckpoints and DiskCheckpoints bound the checkpoints cached after an unload; zero means 2 and 16.
	MemoryCheckpoints, DiskCheckpoints int
	Store                              *store.Store
	TokenInterval                      time.Duration
	// BatchGrowth is by how much of itself the token interval grows with each further request of the batch.
	BatchGrowth     float64
	PrefillPerToken time.Duration
	// AdapterMin and AdapterMax bound the load time of an adapter at full speed.
	AdapterMin, AdapterMax time.Duration
	PrefixBlocks           int
	MaxQueue               int
	ReportLag, EventLag    time.Duration
	// EventLoss is the part of cache events that is never published.
	EventLoss float64
	Seed      uint64
	History   *history.History
}

func (s Settings) withDefaults() Settings {
	fill(&s.Memory, DefaultMemory)
	fill(&s.Slots, DefaultSlots)
	fill(&s.MemoryCheckpoints, 2)
	fill(&s.DiskCheckpoints, 16)
	fill(&s.TokenInterval, DefaultTokenInterval)
	fill(&s.BatchGrowth, DefaultBatchGrowth)
	fill(&s.PrefillPerToken, DefaultPrefillPerToken)
	fill(&s.AdapterMin, DefaultAdapterMin)
	fill(&s.AdapterMax, max(DefaultAdapterMax, s.AdapterMin))
	fill(&s.PrefixBlocks, DefaultPrefixBlocks)
	fill(&s.MaxQueue, DefaultMaxQueue)
	fill(&s.ReportLag, DefaultReportLag)
	fill(&s.EventLag, DefaultEventLag)
	if s.Store == nil {
		s.Store = store.New(store.Settings{})
	}
	return s
}

func fill[T comparable](v *T, standard T) {
	var zero T
	if *v == zero {
		*v = standard
	}
}

func (s *Settings) model(id fleet.ModelID) Model {
	if m, ok := s.Models[id]; ok {
		return m
	}
	return DefaultModel()
}

func (s *Settings) adapter(t fleet.Target) fleet.Bytes {
	m := s.model(t.Model)
	if a, ok := m.Adapters[t.Adapter]; ok {
		return a
	}
	return m.Adapter
}
