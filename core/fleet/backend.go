package fleet

import "time"

// Kind distinguishes model engines from plain services.
type Kind int

// Kinds of backend servers.
const (
	KindEngine Kind = iota
	KindService
)

// Announcement is a backend server's description of itself, which it sends once a second.
type Announcement struct {
	ID          BackendID   `cbor:"1,keyasint" json:"id"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Kind        Kind        `cbor:"3,keyasint" json:"kind"`
	Address     string      `cbor:"4,keyasint" json:"address"`
	Place       Place       `cbor:"5,keyasint" json:"place"`
	Memory      Bytes       `cbor:"6,keyasint" json:"memory"`
	Slots       int         `cbor:"7,keyasint" json:"slots"`
	Services    []ServiceID `cbor:"8,keyasint,omitempty" json:"services,omitempty"`
	ChecksFence bool        `cbor:"9,keyasint,omitempty" json:"checks-fence,omitempty"`
}

// ReplicaState is the state of a model in a backend server's memory, as the backend server reports it.
type ReplicaState int

// States of a model on a backend server.
const (
	ReplicaLoading ReplicaState = iota
	ReplicaReady
	ReplicaUnloading
)

// Tier is a kind of storage from which a backend server can load a checkpoint.
type Tier int

// Tiers from fastest to slowest.
const (
	TierMemory Tier = iota
	TierDisk
	TierRemote
)

// Role says which phases of a request a replica runs: prefill, decode or both (mixed).
type Role int

// Roles of replicas.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
)

// LoadedModel is one model in a backend server's memory.
type LoadedModel struct {
	Model   ModelID      `cbor:"1,keyasint" json:"model"`
	Version ModelVersion `cbor:"2,keyasint" json:"version"`
	State   ReplicaState `cbor:"3,keyasint" json:"state"`
	Memory  Bytes        `cbor:"4,keyasint" json:"memory"`
	Role    Role         `cbor:"5,keyasint,omitempty" json:"role,omitempty"`
	Order   OrderID      `cbor:"6,keyasint,omitempty" json:"order,omitempty"`
}

// LoadedAdapter is one adapter in a backend server's memory.
type LoadedAdapter struct {
	Target Target `cbor:"1,keyasint" json:"target"`
	Memory Bytes  `cbor:"2,keyasint" json:"memory"`
}

// RunningRequest is one request that a backend server runs or has queued.
type RunningRequest struct {
	Request RequestID `cbor:"1,keyasint" json:"request"`
	Memory  Bytes     `cbor:"2,keyasint" json:"memory"`
}

// CachedCheckpoint is a checkpoint in the memory or disk cache of a backend server.
type CachedCheckpoint struct {
	Model ModelID `cbor:"1,keyasint" json:"model"`
	Tier  Tier    `cbor:"2,keyasint" json:"tier"`
}

// Inventory is a snapshot of the contents of a backend server's memory, taken by the backend server. Memory is the server's whole
// memory, Cached the checkpoints in its caches, and Fence the highest fencing token that it has received. Seq orders the
// inventories of one incarnation.
type Inventory struct {
	Backend     BackendID          `cbor:"1,keyasint" json:"backend"`
	Incarnation Incarnation        `cbor:"2,keyasint" json:"incarnation"`
	Seq         uint64             `cbor:"3,keyasint" json:"seq"`
	Memory      Bytes              `cbor:"4,keyasint" json:"memory"`
	Models      []LoadedModel      `cbor:"5,keyasint,omitempty" json:"models,omitempty"`
	Adapters    []LoadedAdapter    `cbor:"6,keyasint,omitempty" json:"adapters,omitempty"`
	Running     []RunningRequest   `cbor:"7,keyasint,omitempty" json:"running,omitempty"`
	Cached      []CachedCheckpoint `cbor:"8,keyasint,omitempty" json:"cached,omitempty"`
	Fence       Fence              `cbor:"9,keyasint,omitempty" json:"fence,omitempty"`
}

// LoadReport is the load that a backend server publishes. It is delayed; Age says by how much. Seq orders the reports of one
// incarnation, and KVUsed is the memory of the KV cache in use.
type LoadReport struct {
	Backend     BackendID     `json:"backend"`
	Incarnation Incarnation   `json:"incarnation"`
	Seq         uint64        `json:"seq"`
	Running     int           `json:"running"`
	Queued      int           `json:"queued"`
	KVUsed      Bytes         `json:"kv-used"`
	Age         time.Duration `json:"age-ns"`
}

// CacheEvent reports that a prompt prefix was cached or evicted. Events may arrive late and with gaps in Seq. Prefix is the hash
// of the prefix, Length its number of tokens.
type CacheEvent struct {
	Backend     BackendID   `json:"backend"`
	Incarnation Incarnation `json:"incarnation"`
	Seq         uint64      `json:"seq"`
	Target      Target      `json:"target"`
	Prefix      uint64      `json:"prefix"`
	Length      Tokens      `json:"length"`
	Evicted     bool        `json:"evicted,omitempty"`
}

// OrderKind is what an order asks a backend server to do.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderRole          OrderKind = "role"
)

// Order asks a backend server to load or unload a model or an adapter, or to change a replica's role. Deadline is the time from
// sending it after which an unanswered order is in doubt.
type Order struct {
	ID       OrderID       `json:"id"`
	Kind     OrderKind     `json:"kind"`
	Target   Target        `json:"target"`
	Version  ModelVersion  `json:"version,omitempty"`
	Role     Role          `json:"role,omitempty"`
	Memory   Bytes         `json:"memory"`
	Fence    Fence         `json:"fence"`
	Deadline time.Duration `json:"deadline-ns"`
}

// OrderOutcome is the outcome of an order, as far as its sender knows.
type OrderOutcome int

// Outcomes of orders.
const (
	OrderDone OrderOutcome = iota
	OrderRefused
	OrderFailed
	// OrderInDoubt means that the order was not answered and may still be carried out.
	OrderInDoubt
)
