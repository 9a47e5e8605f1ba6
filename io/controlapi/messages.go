package controlapi

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/core/routes"
	"toucanway/io/hosts"
)

// Procedures of the leader of the control group.
const (
	ProcedureLead      = "/controller.v1/Lead"
	ProcedureFollow    = "/controller.v1/Follow"
	ProcedurePlace     = "/controller.v1/Place"
	ProcedureReport    = "/controller.v1/Report"
	ProcedureHeartbeat = "/controller.v1/Heartbeat"
	ProcedureRenew     = "/controller.v1/Renew"
	ProcedureLeave     = "/controller.v1/Leave"
	ProcedureReplace   = "/controller.v1/Replace"
	ProcedureRead      = "/controller.v1/Read"
)

// Reply is what all responses have in common.
type Reply struct {
	Status hosts.Status `cbor:"1,keyasint,omitempty"`
	// Leader is a hint where Status is StatusNotLeader.
	Leader fleet.HostID `cbor:"2,keyasint,omitempty"`
}

func (r Reply) reply() Reply { return r }

// LeadRequest asks whether the host leads the control group.
type LeadRequest struct{}

// LeadResponse answers with StatusOK where it does.
type LeadResponse struct {
	Reply Reply `cbor:"1,keyasint,omitempty"`
}

func (r *LeadResponse) reply() Reply { return r.Reply }

// Position is how much of the leader's state a host has.
type Position struct {
	// Term is the leader's term; revisions of different terms can't be compared.
	Term uint64 `cbor:"1,keyasint,omitempty"`
	// Backends is the revision of the registry, Entries that of the list of entry hosts.
	Backends uint64 `cbor:"2,keyasint,omitempty"`
	Entries  uint64 `cbor:"3,keyasint,omitempty"`
	// Configuration is the version in force on the host.
	Configuration routes.Version `cbor:"4,keyasint,omitempty"`
}

// FollowRequest asks for what has changed after a position.
type FollowRequest struct {
	Position Position `cbor:"1,keyasint"`
	// Hold is how long the answer may wait for a change.
	Hold time.Duration `cbor:"2,keyasint"`
	// Entries asks for the entry hosts as well.
	Entries bool `cbor:"3,keyasint,omitempty"`
}

// Entry is an entry host that takes callers' requests.
type Entry struct {
	Host       fleet.HostID     `cbor:"1,keyasint"`
	Address    string           `cbor:"2,keyasint"`
	Region     fleet.Region     `cbor:"3,keyasint"`
	DataCentre fleet.DataCentre `cbor:"4,keyasint"`
}

// FollowResponse carries the changes up to a new position.
type FollowResponse struct {
	Reply    Reply    `cbor:"1,keyasint,omitempty"`
	Position Position `cbor:"2,keyasint"`
	// Complete says that Instances are all that the leader knows, and that it has led for long enough to have heard from
	// every backend server that can reach it.
	Complete  bool                `cbor:"3,keyasint,omitempty"`
	Instances []registry.Instance `cbor:"4,keyasint,omitempty"`
	// Configuration is compressed; empty if the version is still the same.
	Configuration []byte `cbor:"5,keyasint,omitempty"`
	// Entries replace the list if its revision has changed.
	Entries []Entry `cbor:"6,keyasint,omitempty"`
	// Members are the hosts of the control group.
	Members []fleet.HostID `cbor:"7,keyasint,omitempty"`
}

func (r *FollowResponse) reply() Reply { return r.Reply }

// Load is what one host has under way at a backend server.
type Load struct {
	Instance fleet.BackendID `cbor:"1,keyasint"`
	// Active counts the requests, Targets those for each model and adapter.
	Active int `cbor:"2,keyasint,omitempty"`
	// Prompt is the number of prompt tokens of requests that have not had their first event.
	Prompt  fleet.Tokens `cbor:"3,keyasint,omitempty"`
	Targets []TargetLoad `cbor:"4,keyasint,omitempty"`
	// Unreachable says that the host can't reach the backend server at present.
	Unreachable bool `cbor:"5,keyasint,omitempty"`
}

// TargetLoad is the number of requests under way for one model and adapter.
type TargetLoad struct {
	Target fleet.Target `cbor:"1,keyasint"`
	Active int          `cbor:"2,keyasint"`
}

// ReportRequest tells the leader about an entry host.
type ReportRequest struct {
	Entry Entry `cbor:"1,keyasint"`
	// Ready hosts take new callers.
	Ready   bool               `cbor:"2,keyasint,omitempty"`
	Loads   []Load             `cbor:"3,keyasint,omitempty"`
	Demands []residency.Demand `cbor:"4,keyasint,omitempty"`
}

// ReportResponse carries what the other hosts have under way.
type ReportResponse struct {
	Reply Reply `cbor:"1,keyasint,omitempty"`
	// Loads are the sums of all other hosts; backend servers without load are left out.
	Loads Sums `cbor:"2,keyasint,omitempty"`
	// Entries is the number of entry hosts, among which the retry budget is divided.
	Entries int `cbor:"3,keyasint,omitempty"`
	// Interval is the time until the next report that nothing hurries.
	Interval time.Duration `cbor:"4,keyasint,omitempty"`
}

func (r *ReportResponse) reply() Reply { return r.Reply }

// HeartbeatRequest passes on what a backend server said of itself.
type HeartbeatRequest struct {
	Heartbeat registry.Heartbeat `cbor:"1,keyasint"`
}

// Renewal says that a heartbeat told nothing new.
type Renewal struct {
	Instance    fleet.BackendID   `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}

// RenewRequest passes on heartbeats that told nothing new since the calling host passed on a whole one.
type RenewRequest struct {
	Renewals []Renewal `cbor:"1,keyasint"`
}

// RenewResponse names the instances whose next heartbeat the leader needs whole.
type RenewResponse struct {
	Reply   Reply             `cbor:"1,keyasint,omitempty"`
	Unknown []fleet.BackendID `cbor:"2,keyasint,omitempty"`
}

func (r *RenewResponse) reply() Reply { return r.Reply }

// LeaveRequest passes on that a backend server has left.
type LeaveRequest struct {
	Instance    fleet.BackendID   `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint,omitempty"`
}

// HeartbeatResponse acknowledges a heartbeat or a leave.
type HeartbeatResponse struct {
	Reply Reply `cbor:"1,keyasint,omitempty"`
}

func (r *HeartbeatResponse) reply() Reply { return r.Reply }

// ReplaceRequest submits a checked configuration.
type ReplaceRequest struct {
	Version routes.Version `cbor:"1,keyasint"`
	// Data is compressed.
	Data []byte `cbor:"2,keyasint"`
}

// ReplaceResponse says that the configuration is in force or a higher version is.
type ReplaceResponse struct {
	Reply Reply `cbor:"1,keyasint,omitempty"`
}

func (r *ReplaceResponse) reply() Reply { return r.Reply }

// ReadRequest asks for the newest configuration, unless it is the version that the caller holds.
type ReadRequest struct {
	Held routes.Version `cbor:"1,keyasint,omitempty"`
}

// ReadResponse carries the newest configuration.
type ReadResponse struct {
	Reply   Reply          `cbor:"1,keyasint,omitempty"`
	Version routes.Version `cbor:"2,keyasint,omitempty"`
	// Data is compressed; empty if the version is the one held.
	Data []byte `cbor:"3,keyasint,omitempty"`
}

func (r *ReadResponse) reply() Reply { return r.Reply }
