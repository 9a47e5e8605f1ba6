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
	// DefaultMaxProposalAge is how long a proposed load counts as in flight while it has no record in the control state.
	DefaultMaxProposalAge = 3 * time.Second
	// DefaultOwnerMoves is the largest number of backend servers that change owner for balance in one round.
	DefaultOwnerMoves = 4
	// DefaultWaitCost is the cost of one second that one request waits, in units of an accelerator hour.
	DefaultWaitCost = 0.0004
	// DefaultRetryDelay is how long a backend server is not chosen for a model after a load of that model failed there.
	DefaultRetryDelay = time.Minute
	// DefaultSlots is the number of requests that one replica runs concurrently.
	DefaultSlots = 8
	// DefaultContextTokens is the number of tokens whose KV cache has to fit into a replica's reserved memory.
	DefaultContextTokens fleet.Tokens = 4096
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
	// MaxDemandAge is the age at which a host's demand report is dropped; 0 means demand.DefaultMaxAge.
	MaxDemandAge   time.Duration
	MaxProposalAge time.Duration
	RetryDelay     time.Duration
	OwnerMoves     int
	// Seed seeds the random choice among equally good backend servers.
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
	if s.MaxProposalAge <= 0 {
		s.MaxProposalAge = DefaultMaxProposalAge
	}
	if s.RetryDelay <= 0 {
		s.RetryDelay = DefaultRetryDelay
	}
	if s.OwnerMoves <= 0 {
		s.OwnerMoves = DefaultOwnerMoves
	}
}

// Catalogue is the part of the accepted configuration document that placement needs.
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
	// ContextTokens is the number of tokens whose KV cache has to fit into a replica's reserved memory, so that it can run
	// one request; 0 means 4,096.
	ContextTokens fleet.Tokens
	// AdapterMemory is memory kept free on each replica for adapters.
	AdapterMemory fleet.Bytes
	// LoadTime is the declared load time by tier; measured times replace it. Zero means 60 s, 20 s and 5 s for the
	// remote, disk and memory tier.
	LoadTime [3]time.Duration
	// Slots is the number of requests that one replica runs concurrently; 0 means 8.
	Slots int
	// Minimum replicas are kept at all times.
	Minimum int
	// Maximum replicas are never exceeded; 0 means control.MaxReplicasPerModel.
	Maximum int
	// Pinned replicas are kept like Minimum and are never moved for balance or evicted.
	Pinned int
	// SpreadDataCentres and SpreadRegions are the numbers of data centres and regions that the replicas have to cover
	// once there are that many replicas.
	SpreadDataCentres int
	SpreadRegions     int
	// Regions lists the regions where the model may be loaded; empty means all.
	Regions []fleet.Region
	// KeepWarmMin and KeepWarmMax bound the time that a model stays loaded after its last call; KeepWarmMax 0 means no
	// bound.
	KeepWarmMin time.Duration
	KeepWarmMax time.Duration
	// Class is the highest priority class among the model's callers. It orders loads after a failure.
	Class fleet.Class
}

// UnmetBound reports a bound set by the operators that does not hold at present.
type UnmetBound struct {
	Model fleet.ModelID
	// Bound is one of minimum, pinned, spread-data-centres, spread-regions.
	Bound string
	Want  int
	Have  int
	// Reason is why the bound is not met, with the remedy.
	Reason string
}
