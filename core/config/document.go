package config

import (
	"time"

	"toucanway/core/fleet"
)

// Document is one decoded configuration document. It is read-only once decoded and safe for concurrent use.
type Document struct {
	Owners   Owners    `key:"owners,required" doc:"Operators, their credentials and the sections that they may change."`
	Regions  Regions   `key:"regions" doc:"Regions, their data centres and the budget of traffic between regions."`
	Models   []Model   `key:"models" doc:"Models and their adapters by name."`
	Capacity Capacity  `key:"capacity" doc:"Weight store, idle cost and memory kept for KV cache."`
	Callers  Callers   `key:"callers" doc:"Tenants and the callers that belong to them."`
	Services []Service `key:"services" doc:"Plain services by name."`
	Limits   Limits    `key:"limits" doc:"Bounds of queues, deadlines, retries and retained records."`

	index index
}

// Section names a top-level key of the document.
type Section string

// Sections of the document.
const (
	SectionOwners   Section = "owners"
	SectionRegions  Section = "regions"
	SectionModels   Section = "models"
	SectionCapacity Section = "capacity"
	SectionCallers  Section = "callers"
	SectionServices Section = "services"
	SectionLimits   Section = "limits"
)

// Sections returns every section in the order of the reference page.
func Sections() []Section {
	return []Section{
		SectionOwners, SectionRegions, SectionModels, SectionCapacity, SectionCallers, SectionServices, SectionLimits,
	}
}

// Owners says who may change which section.
type Owners struct {
	Operators []Operator     `key:"operators,required" doc:"Operators by id."`
	Sections  []SectionOwner `key:"sections,required" doc:"For each section of the document, the ids of the operators that may change it."`
}

// Operator is one person or program that reads and submits documents.
type Operator struct {
	ID          fleet.OperatorID `key:"@name"`
	Credentials []Credential     `key:"credentials,required" doc:"Hashes of the operator's bearer tokens; several while a token is replaced."`
}

// SectionOwner lists the operators that may change one section.
type SectionOwner struct {
	Section   Section            `key:"@name"`
	Operators []fleet.OperatorID `key:"@value" doc:"Ids of the operators that may change the section NAME."`
}

// Regions declares the regions of the deployment and limits the traffic between them.
type Regions struct {
	CrossRegionPerHour fleet.Bytes `key:"cross-region-bytes-per-hour" default:"0B" doc:"Bytes that the deployment may send between regions in an hour; once they are used up, requests stay in their region. 0B means no limit."`
	Regions            []Region    `key:"places" doc:"Regions by name."`
}

// Region declares a region and its data centres.
type Region struct {
	Name        fleet.Region       `key:"@name"`
	DataCentres []fleet.DataCentre `key:"data-centres,required" doc:"Data centres of the region; each name occurs in one region only."`
}

// Spread is the kind of location over which the replicas of a model are spread.
type Spread int

// Values of Spread.
const (
	SpreadNone Spread = iota
	SpreadDataCentres
	SpreadRegions
)

// String returns the value as written in the document.
func (s Spread) String() string {
	if s < 0 || int(s) >= len(spreadNames) {
		return "unknown"
	}
	return spreadNames[s]
}

// Model is a base model that engines can load.
type Model struct {
	Name            fleet.ModelID        `key:"@name"`
	Versions        []fleet.ModelVersion `key:"versions,required" doc:"Versions of the weights. The first one is loaded; replicas of the others may serve until they are replaced."`
	Memory          fleet.Bytes          `key:"memory,required" min:"1MiB" doc:"Memory of one replica without KV cache and adapters."`
	KVBytesPerToken fleet.Bytes          `key:"kv-bytes-per-token,required" min:"1B" doc:"Memory of the KV cache of one token."`
	LoadTimes       LoadTimes            `key:"load-times,required" doc:"Expected load times by the tier that holds the checkpoint, with the weight store at full speed."`
	MinReplicas     int                  `key:"min-replicas" default:"0" min:"0" max:"64" doc:"Least number of replicas, which stay loaded without demand."`
	MaxReplicas     int                  `key:"max-replicas" default:"4" min:"1" max:"64" doc:"Greatest number of replicas, loaded at the highest demand."`
	Pinned          bool                 `key:"pinned" default:"false" doc:"Whether replicas are never evicted for another model; needs min-replicas of at least 1."`
	Spread          Spread               `key:"spread" default:"none" doc:"Kind of location over which the replicas are spread: none, data-centres or regions."`
	KeepWarm        KeepWarm             `key:"keep-warm" doc:"Bounds of the time that an idle replica stays loaded."`
	Role            fleet.Role           `key:"role" default:"mixed" doc:"Phase of inference that the replicas run: mixed, prefill or decode."`
	Adapters        []Adapter            `key:"adapters" doc:"Adapters of the model: name and memory of each."`
}

// Version returns the version of the weights to load.
func (m *Model) Version() fleet.ModelVersion { return m.Versions[0] }

// LoadTimes are the expected load times by the tier that holds the checkpoint.
type LoadTimes struct {
	Memory time.Duration `key:"memory,required" min:"1ms" doc:"From the memory of the engine's host."`
	Disk   time.Duration `key:"disk,required" min:"1ms" doc:"From the disk of the engine's host."`
	Remote time.Duration `key:"remote,required" min:"1ms" doc:"From the weight store."`
}

// From returns the load time from a tier.
func (l LoadTimes) From(t fleet.Tier) time.Duration {
	switch t {
	case fleet.TierMemory:
		return l.Memory
	case fleet.TierDisk:
		return l.Disk
	case fleet.TierRemote:
		return l.Remote
	default:
		return l.Remote
	}
}

// KeepWarm bounds the time that an idle replica stays loaded.
type KeepWarm struct {
	Min time.Duration `key:"min" default:"30s" doc:"Shortest idle time before a replica may be unloaded."`
	Max time.Duration `key:"max" default:"15m" doc:"Longest idle time of a replica above min-replicas."`
}

// Adapter is a small set of weights applied on top of a base model.
type Adapter struct {
	Name   fleet.AdapterID `key:"@name"`
	Memory fleet.Bytes     `key:"@value" min:"1KiB" doc:"Memory of the adapter NAME; callers address it as MODEL:NAME."`
}

// Capacity describes the weight store, the cost of idle memory, the memory that loads leave free and the fencing of backend
// servers.
type Capacity struct {
	WeightStore         WeightStore     `key:"weight-store" doc:"Limits of the weight store."`
	IdleCostPerGiBHour  float64         `key:"idle-cost-per-gib-hour" default:"1" min:"0" doc:"Cost of one GiB of idle accelerator memory for an hour, relative to one second that a caller waits for a cold start."`
	KVReserve           fleet.Bytes     `key:"kv-reserve" default:"4GiB" doc:"Memory that loads leave free on every engine for KV cache and adapters."`
	CheckFenceOverrides []FenceOverride `key:"checks-fence" doc:"Overrides, by backend server id, of the announced ability to refuse stale fencing tokens."`
}

// WeightStore holds the limits of the weight store.
type WeightStore struct {
	LoadsPerSecond       float64 `key:"loads-per-second" default:"3" min:"0.01" doc:"Loads that may start in a second."`
	ConcurrentLoads      int     `key:"concurrent-loads" default:"4" min:"1" max:"4096" doc:"Loads that can run at once at full speed."`
	AdapterLoadsInFlight int     `key:"adapter-loads-in-flight" default:"30" min:"1" max:"65536" doc:"Adapter loads that can run at once without slowing each other down."`
}

// FenceOverride overrides whether one backend server is known to refuse stale fencing tokens.
type FenceOverride struct {
	Backend fleet.BackendID `key:"@name"`
	Checks  bool            `key:"@value" doc:"Whether the backend server NAME refuses stale fencing tokens."`
}

// Callers declares the callers of the deployment and the tenants that they belong to.
type Callers struct {
	Tenants []Tenant `key:"tenants" doc:"Tenants by id."`
	Callers []Caller `key:"callers" doc:"Callers by id."`
}

// Tenant is an organisation or team whose callers share a part of the capacity.
type Tenant struct {
	ID     fleet.TenantID `key:"@name"`
	Weight int            `key:"weight" default:"1" min:"1" max:"1000" doc:"Share of the capacity relative to other tenants of a class."`
}

// Caller is a person or program that sends requests on behalf of a tenant.
type Caller struct {
	ID          fleet.CallerID `key:"@name"`
	Tenant      fleet.TenantID `key:"tenant,required" doc:"Tenant that the caller belongs to."`
	Class       fleet.Class    `key:"class" default:"standard" doc:"Priority class: critical, interactive, standard or batch."`
	Credentials []Credential   `key:"credentials,required" doc:"Hashes of the caller's bearer tokens; several while a token is replaced."`
}

// Service is a plain service that requests are routed to.
type Service struct {
	Name  fleet.ServiceID `key:"@name"`
	Calls []Call          `key:"calls" doc:"Calls by method and path prefix; the longest prefix applies, and a call without an entry counts as non-idempotent."`
}

// Call says whether calls with one method below a path may be repeated.
type Call struct {
	Method     string `key:"method,required" pattern:"[A-Z]+" doc:"HTTP method in capitals, such as GET."`
	PathPrefix string `key:"path-prefix,required" pattern:"/.*" doc:"Start of the path, such as /prices/."`
	Idempotent bool   `key:"idempotent,required" doc:"Whether a call may run more than once."`
}

// Limits are bounds on what the deployment accepts and keeps.
type Limits struct {
	WaitingPerHost      int           `key:"waiting-per-host" default:"4096" min:"1" max:"65536" doc:"Requests that wait for a replica on one host; more are refused with queue-full."`
	WaitingPerBackend   int           `key:"waiting-per-backend-server" default:"1024" min:"1" max:"65536" doc:"Requests that wait for a slot of one backend server; more are refused with queue-full."`
	DefaultDeadline     time.Duration `key:"default-deadline" default:"60s" min:"10ms" max:"1h" doc:"Deadline of a request without X-Deadline-Ms."`
	MaxDeadline         time.Duration `key:"max-deadline" default:"10m" min:"10ms" max:"1h" doc:"Longest deadline that a caller may ask for."`
	RetryShare          float64       `key:"retry-share" default:"0.1" min:"0" max:"1" doc:"Retries and hedges that a tenant may make, as a share of its requests."`
	RetriesPerSecond    int           `key:"retries-per-second" default:"1" min:"0" max:"1000" doc:"Retries and hedges that a tenant may make in a second regardless of its number of requests."`
	MaxAttempts         int           `key:"max-attempts" default:"3" min:"1" max:"10" doc:"Attempts of one idempotent request, the first included."`
	LongWorkShare       float64       `key:"long-work-share" default:"0.75" min:"0.05" max:"1" doc:"Share of a model's slots that work predicted to be long may hold while other requests wait."`
	MaxBody             fleet.Bytes   `key:"max-body" default:"4MiB" min:"1KiB" max:"64MiB" doc:"Largest body of a caller's request."`
	LedgerRetention     time.Duration `key:"ledger-retention" default:"24h" min:"1m" max:"720h" doc:"Time that the answer of a non-idempotent request is kept for repetitions of the request."`
	LedgerRecords       int           `key:"ledger-records" default:"200000" min:"100" max:"10000000" doc:"Records kept in each ledger group; beyond that, new keys are refused with ledger-full."`
	LedgerMaxAnswer     fleet.Bytes   `key:"ledger-max-answer" default:"64KiB" min:"1KiB" max:"1MiB" doc:"Largest answer of a non-idempotent request that is kept."`
	DrainBound          time.Duration `key:"drain-bound" default:"120s" min:"1s" max:"1h" doc:"Longest time of a graceful shutdown."`
	PoisonExpiry        time.Duration `key:"poison-expiry" default:"10m" min:"10s" max:"24h" doc:"Time after which the mark of a poison request expires."`
	MaxUnloadsPerHour   int           `key:"wake-cycles-per-hour" default:"6" min:"1" max:"3600" doc:"Times that a model may be unloaded within an hour because it is idle."`
	CallerAddressExpiry time.Duration `key:"address-lifetime" default:"5s" min:"1s" max:"5m" doc:"Lifetime of the host addresses given to callers."`
}
