package placement

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/store"
	"toucanway/core/warm"
)

// Defaults of Settings.
const (
	// DefaultHoldTime is how long a lost replica counts against its target before it may be replaced.
	DefaultHoldTime = 30 * time.Second
	// DefaultProposalAge is how long a proposed load counts as under way before its record appears.
	DefaultProposalAge = 3 * time.Second
	// DefaultOwnerMoves bounds how many backend servers change owner for balance in one round.
	DefaultOwnerMoves = 4
	// DefaultWaitCost is the cost of one second that one request waits, in units of an accelerator hour.
	DefaultWaitCost = 0.0004
	// DefaultRetryDelay keeps a backend server out of the choice after a load failed there.
	DefaultRetryDelay = time.Minute
	// DefaultSlots is the number of requests that one replica runs at once.
	DefaultSlots = 8
	// DefaultContext is the number of tokens whose KV cache a replica needs free.
	DefaultContext fleet.Tokens = 4096
)

// Settings configures a Planner; zero fields mean the defaults.
type Settings struct {
	Catalogue Catalogue
	Store     store.Settings
	Warm      warm.Settings
	// IdleHourCost is the cost of keeping one whole backend server idle for an hour; 0 means 1.
	IdleHourCost float64
	// WaitCost is the cost of one second that one request waits, in the unit of IdleHourCost.
	WaitCost float64
	HoldTime time.Duration
	// DemandAge is the age at which a host's report no longer counts; 0 means demand.DefaultMaxAge.
	DemandAge   time.Duration
	ProposalAge time.Duration
	RetryDelay  time.Duration
	OwnerMoves  int
	// Seed drives the choice among equally good backend servers.
	Seed uint64
}

func (s *Settings) setDefaults() {
	if s.IdleHourCost <= 0 {
		s.IdleHourCost = 1
	}
	if s.WaitCost <= 0 {
		s.WaitCost = DefaultWaitCost
	}
	if s.HoldTime <= 0 {
		s.HoldTime = DefaultHoldTime
	}
	if s.ProposalAge <= 0 {
		s.ProposalAge = DefaultProposalAge
	}
	if s.RetryDelay <= 0 {
		s.RetryDelay = DefaultRetryDelay
	}
	if s.OwnerMoves <= 0 {
		s.OwnerMoves = DefaultOwnerMoves
	}
}

// Catalogue is the part of the accepted document that placement needs.
type Catalogue struct {
	Version fleet.DocumentVersion
	Models  []Model
}

// Model declares one model with the operators' bounds.
type Model struct {
	ID      fleet.ModelID
	Version fleet.ModelVersion
	Role    fleet.Role
	// Memory is the size of the loaded weights.
	Memory fleet.Bytes
	// KVPerToken is the KV cache memory of one token.
	KVPerToken fleet.Bytes
	// ContextTokens is the KV cache that a replica needs free to run one request; 0 means 4,096.
	ContextTokens fleet.Tokens
	// AdapterMemory is memory kept free on each replica for adapters.
	AdapterMemory fleet.Bytes
	// LoadTime is the declared load time by tier; measured times replace it. Zero means 60 s, 20 s and 5 s for the
	// remote, disk and memory tier.
	LoadTime [3]time.Duration
	// Slots is the number of requests that one replica runs at once; 0 means 8.
	Slots int
	// Minimum replicas are kept at all times.
	Minimum int
	// Maximum replicas are never exceeded; 0 means control.MaxReplicasPerModel.
	Maximum int
	// Pinned replicas are kept like Minimum and are never moved for balance or evicted.
	Pinned int
	// SpreadDataCentres and SpreadRegions are the numbers of data centres and regions that the replicas have to cover
	// once there are that many.
	SpreadDataCentres int
	SpreadRegions     int
	// Regions limits placement; empty means all.
	Regions []fleet.Region
	// KeepWarmMin and KeepWarmMax bound the time a model stays loaded after its last call; KeepWarmMax 0 means no bound.
	KeepWarmMin time.Duration
	KeepWarmMax time.Duration
	// Class is the most urgent class that callers of the model have, for the order of recovery.
	Class fleet.Class
}

// UnmetBound reports a bound of the operators that does not hold at present.
type UnmetBound struct {
	Model fleet.ModelID
	// Bound is one of minimum, pinned, spread-data-centres, spread-regions.
	Bound string
	Want  int
	Have  int
	// Reason is why the bound is not met, with the remedy.
	Reason string
}
