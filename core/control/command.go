package control

import (
	"toucanway/core/fleet"
)

// Command is a change of the control state; the types below are all of them.
type Command interface{ isCommand() }

// SubmitDocument replaces lines of the current document; Base is the version that the hunks apply to.
type SubmitDocument struct {
	Base     fleet.DocumentVersion `cbor:"1,keyasint"`
	Digest   string                `cbor:"2,keyasint"`
	Hunks    []Hunk                `cbor:"3,keyasint"`
	Operator fleet.OperatorID      `cbor:"4,keyasint"`
	Sections []string              `cbor:"5,keyasint"`
}

// Hunk replaces the lines Start (inclusive, from 0) to End (exclusive) of the base document.
type Hunk struct {
	Start int      `cbor:"1,keyasint"`
	End   int      `cbor:"2,keyasint"`
	Lines []string `cbor:"3,keyasint"`
}

// OpenSession registers one incarnation of a host. If Incarnation is 0, the log index of the command is used, which is higher
// than the index of any earlier session.
type OpenSession struct {
	Host          fleet.HostID      `cbor:"1,keyasint"`
	Incarnation   fleet.Incarnation `cbor:"2,keyasint,omitempty"`
	Address       string            `cbor:"3,keyasint"`
	CallerAddress string            `cbor:"4,keyasint"`
	Place         fleet.Place       `cbor:"5,keyasint"`
}

// DrainSession marks a host as shutting down: it is no longer announced to callers, and it can't become the owner of a
// backend server.
type DrainSession struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
}

// CloseSession ends a host's session and frees the backend servers that it owned.
type CloseSession struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
}

// PutBackend registers or updates a backend server; a newer incarnation drops the records of the older one.
type PutBackend struct {
	Announcement fleet.Announcement `cbor:"1,keyasint"`
	Leaving      bool               `cbor:"2,keyasint,omitempty"`
}

// RemoveBackend removes a backend server. If Dead is set, its process is known to have ended, and it is deleted with the
// records of its replicas. Otherwise the server and the records are kept and marked as lost, except records of load orders
// that were not sent yet, which are deleted.
type RemoveBackend struct {
	Backend     fleet.BackendID   `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Dead        bool              `cbor:"3,keyasint,omitempty"`
}

// AssignOwner makes a host the capacity owner of a backend server if its fencing token is still the expected one.
type AssignOwner struct {
	Backend  fleet.BackendID `cbor:"1,keyasint"`
	Owner    fleet.HostID    `cbor:"2,keyasint"`
	Expected fleet.Fence     `cbor:"3,keyasint"`
}

// ReleaseOwner ends the ownership that has the given fencing token.
type ReleaseOwner struct {
	Backend fleet.BackendID `cbor:"1,keyasint"`
	Fence   fleet.Fence     `cbor:"2,keyasint"`
}

// SetReplicaTarget decides how many replicas of a model may be loaded.
type SetReplicaTarget struct {
	Model fleet.ModelID `cbor:"1,keyasint"`
	Count int           `cbor:"2,keyasint"`
}

// DecideLoad decides to load a model on a backend server; the log index becomes the order's id.
type DecideLoad struct {
	Model       fleet.ModelID      `cbor:"1,keyasint"`
	Version     fleet.ModelVersion `cbor:"2,keyasint"`
	Role        fleet.Role         `cbor:"3,keyasint,omitempty"`
	Backend     fleet.BackendID    `cbor:"4,keyasint"`
	Incarnation fleet.Incarnation  `cbor:"5,keyasint"`
	Memory      fleet.Bytes        `cbor:"6,keyasint"`
	// Reserve is memory that the load must leave free, for KV cache and adapters.
	Reserve fleet.Bytes `cbor:"7,keyasint"`
}

// DecideUnload decides to unload a replica.
type DecideUnload struct {
	Order fleet.OrderID `cbor:"1,keyasint"`
}

// ReportOrder records a state change of a replica's order, reported by the owner with its fencing token.
type ReportOrder struct {
	Order fleet.OrderID `cbor:"1,keyasint"`
	Fence fleet.Fence   `cbor:"2,keyasint"`
	State ReplicaState  `cbor:"3,keyasint"`
}

// SettleInventory resolves records in doubt with the inventory that the owner read from the backend server. Before is the
// last log index that the inventory can reflect: records that changed later are left as they are.
type SettleInventory struct {
	Backend     fleet.BackendID     `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation   `cbor:"2,keyasint"`
	Fence       fleet.Fence         `cbor:"3,keyasint"`
	Before      fleet.Index         `cbor:"4,keyasint"`
	Models      []fleet.LoadedModel `cbor:"5,keyasint"`
}

// RecordCrash records the requests that a backend server was running when it crashed.
type RecordCrash struct {
	Backend      fleet.BackendID     `cbor:"1,keyasint"`
	Incarnation  fleet.Incarnation   `cbor:"2,keyasint"`
	Fingerprints []fleet.Fingerprint `cbor:"3,keyasint"`
	// Alone is set if the request was the only one on the backend server.
	Alone bool `cbor:"4,keyasint,omitempty"`
}

// DeleteCrashRecords deletes the crash records of requests that have completed since their crash, and expired crash records.
type DeleteCrashRecords struct {
	Fingerprints []fleet.Fingerprint `cbor:"1,keyasint"`
}

func (*SubmitDocument) isCommand()     {}
func (*OpenSession) isCommand()        {}
func (*DrainSession) isCommand()       {}
func (*CloseSession) isCommand()       {}
func (*PutBackend) isCommand()         {}
func (*RemoveBackend) isCommand()      {}
func (*AssignOwner) isCommand()        {}
func (*ReleaseOwner) isCommand()       {}
func (*SetReplicaTarget) isCommand()   {}
func (*DecideLoad) isCommand()         {}
func (*DecideUnload) isCommand()       {}
func (*ReportOrder) isCommand()        {}
func (*SettleInventory) isCommand()    {}
func (*RecordCrash) isCommand()        {}
func (*DeleteCrashRecords) isCommand() {}
