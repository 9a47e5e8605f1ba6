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
	DefaultAdapterLoadMin  = 5 * time.Millisecond
	DefaultAdapterLoadMax  = 10 * time.Millisecond
	DefaultPrefixBlocks    = 4096
	DefaultMaxQueue        = 256
	DefaultReportLag       = time.Second
	DefaultEventLag        = 2 * time.Second
)

// Model describes the memory and load times of a model.
type Model struct {
	Weights    fleet.Bytes
	KVPerToken fleet.Bytes
	// DefaultAdapterMemory is the memory of each adapter that AdapterMemory does not list.
	DefaultAdapterMemory fleet.Bytes
	AdapterMemory        map[fleet.AdapterID]fleet.Bytes
	// LoadTimes are the load times by checkpoint tier; the time from the remote tier applies at full speed of the weight store.
	LoadTimes [3]time.Duration
}

// DefaultModel returns the values of models that the settings do not declare.
func DefaultModel() Model {
	return Model{
		Weights:              16 * fleet.GiB,
		KVPerToken:           128 * fleet.KiB,
		DefaultAdapterMemory: 64 * fleet.MiB,
		LoadTimes:            [3]time.Duration{500 * time.Millisecond, 3 * time.Second, 8 * time.Second},
	}
}

// Settings describe an engine; zero fields mean the defaults above.
type Settings struct {
	ID      fleet.BackendID
	Network network.Network
	// Address is IP:PORT; port 0 selects a free port.
	Address string
	Place   fleet.Place
	// Entries are the addresses of the entry hosts that the engine announces itself to.
	Entries []string
	// Incarnation is the first incarnation; zero means 1.
	Incarnation fleet.Incarnation
	Memory      fleet.Bytes
	Slots       int
	// ChecksFence makes the engine refuse stale fencing tokens and announce that it does; otherwise tokens are ignored.
	ChecksFence bool
	// RefuseOvercommit makes the engine refuse loads and runs that do not fit in memory; otherwise they are executed and the
	// excess is recorded in the history.
	RefuseOvercommit bool
	Models           map[fleet.ModelID]Model
	// Tiers are the initial tiers of cached checkpoints; all others are remote.
	Tiers map[fleet.ModelID]fleet.Tier
	// MemoryCheckpoints and DiskCheckpoints bound the checkpoints cached after an unload; zero means 2 and 16.
	MemoryCheckpoints, DiskCheckpoints int
	Store                              *store.Store
	TokenInterval                      time.Duration
	// BatchGrowth is the fraction of the token interval that each further request in the batch adds to it.
	BatchGrowth     float64
	PrefillPerToken time.Duration
	// AdapterLoadMin and AdapterLoadMax bound the load time of an adapter at full speed.
	AdapterLoadMin, AdapterLoadMax time.Duration
	PrefixBlocks                   int
	MaxQueue                       int
	ReportLag, EventLag            time.Duration
	// EventLoss is the share of cache events that are never published.
	EventLoss float64
	Seed      uint64
	History   *history.History
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.Memory, DefaultMemory)
	setDefault(&s.Slots, DefaultSlots)
	setDefault(&s.MemoryCheckpoints, 2)
	setDefault(&s.DiskCheckpoints, 16)
	setDefault(&s.TokenInterval, DefaultTokenInterval)
	setDefault(&s.BatchGrowth, DefaultBatchGrowth)
	setDefault(&s.PrefillPerToken, DefaultPrefillPerToken)
	setDefault(&s.AdapterLoadMin, DefaultAdapterLoadMin)
	setDefault(&s.AdapterLoadMax, max(DefaultAdapterLoadMax, s.AdapterLoadMin))
	setDefault(&s.PrefixBlocks, DefaultPrefixBlocks)
	setDefault(&s.MaxQueue, DefaultMaxQueue)
	setDefault(&s.ReportLag, DefaultReportLag)
	setDefault(&s.EventLag, DefaultEventLag)
	if s.Store == nil {
		s.Store = store.New(store.Settings{})
	}
	return s
}

func setDefault[T comparable](v *T, defaultValue T) {
	var zero T
	if *v == zero {
		*v = defaultValue
	}
}

func (s *Settings) model(id fleet.ModelID) Model {
	if m, ok := s.Models[id]; ok {
		return m
	}
	return DefaultModel()
}

func (s *Settings) adapterMemory(t fleet.Target) fleet.Bytes {
	m := s.model(t.Model)
	if a, ok := m.AdapterMemory[t.Adapter]; ok {
		return a
	}
	return m.DefaultAdapterMemory
}
