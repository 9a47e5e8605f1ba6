package hosts

import (
	"time"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
	"toucanway/core/raft"
)

// Procedures of the leader of a group; Follow and Submit are those of the control group only.
const (
	ProcedureFollow  = "/control.v1/Follow"
	ProcedurePropose = "/control.v1/Propose"
	ProcedureSubmit  = "/control.v1/Submit"
)

// Status reports whether a host answered as the leader of a group and whether it carried out the request.
type Status int

// Status codes in answers of group members.
const (
	StatusOK Status = iota
	// StatusNotLeader means that the member is not the leader. The answer names the leader if it is known.
	StatusNotLeader
	// StatusClosed means that the session of the calling host has ended and that it must open a new one.
	StatusClosed
	// StatusUncertain means that the entry was appended and may still be committed.
	StatusUncertain
)

// FollowRequest asks for the log entries after Applied and renews the session lease.
type FollowRequest struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	// Applied is the last log index that the host has applied. A document up to this index is in force on the host, unless the
	// host can't decode it.
	Applied fleet.Index `cbor:"3,keyasint"`
	// Hold is how long the answer may be delayed while there is no newer entry.
	Hold time.Duration `cbor:"4,keyasint"`
	// Announced lists the backend servers that announced themselves to this host since its last request.
	Announced []fleet.BackendIncarnation `cbor:"5,keyasint,omitempty"`
}

// LogEntry is one committed entry of the control log.
type LogEntry struct {
	Index fleet.Index `cbor:"1,keyasint"`
	Data  []byte      `cbor:"2,keyasint"`
}

// FollowResponse carries newer entries, or a snapshot if the leader no longer keeps all of them.
type FollowResponse struct {
	Status        Status       `cbor:"1,keyasint"`
	Leader        fleet.HostID `cbor:"2,keyasint,omitempty"`
	Entries       []LogEntry   `cbor:"3,keyasint,omitempty"`
	Snapshot      []byte       `cbor:"4,keyasint,omitempty"`
	SnapshotIndex fleet.Index  `cbor:"5,keyasint,omitempty"`
	// Lease is the session lease; it starts when the host sent the request. It is zero if no lease is granted.
	Lease time.Duration `cbor:"6,keyasint,omitempty"`
	// Newest means that the entries end at the leader's last applied index.
	Newest bool `cbor:"7,keyasint,omitempty"`
}

// ProposeRequest asks the leader of a group to commit an entry.
type ProposeRequest struct {
	Group uint32 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// ProposeResponse carries the state machine's result for a committed entry.
type ProposeResponse struct {
	Status Status       `cbor:"1,keyasint"`
	Leader fleet.HostID `cbor:"2,keyasint,omitempty"`
	Index  fleet.Index  `cbor:"3,keyasint,omitempty"`
	Result []byte       `cbor:"4,keyasint,omitempty"`
}

// SubmitResponse answers the submission of a configuration document once it is in force on every host with a lease.
type SubmitResponse struct {
	Status Status         `cbor:"1,keyasint"`
	Leader fleet.HostID   `cbor:"2,keyasint,omitempty"`
	Result control.Result `cbor:"3,keyasint"`
	// Expired lists hosts whose lease ended before they reported the document.
	Expired []fleet.HostID `cbor:"4,keyasint,omitempty"`
}

// ProcedureDemand reports to the planner which models the callers of a host wait for.
const ProcedureDemand = "/placement.v1/Demand"

// DemandRequest carries a host's demand and the reports of its backend servers since the last request.
type DemandRequest struct {
	Demand placement.Demand       `cbor:"1,keyasint"`
	Loads  []placement.LoadResult `cbor:"2,keyasint,omitempty"`
	// Inventories lists the cached checkpoints of the backend servers that the host owns.
	Inventories []fleet.Inventory `cbor:"3,keyasint,omitempty"`
	// Models lists the models for which estimates are requested.
	Models []fleet.ModelID `cbor:"4,keyasint,omitempty"`
}

// DemandResponse carries the planner's estimates.
type DemandResponse struct {
	Status    Status       `cbor:"1,keyasint"`
	Leader    fleet.HostID `cbor:"2,keyasint,omitempty"`
	Estimates []Estimate   `cbor:"3,keyasint,omitempty"`
}

// Estimate is the expected time until a model is ready to serve.
type Estimate struct {
	Model fleet.ModelID `cbor:"1,keyasint"`
	// Possible is false if the planner currently sees no way to load the model.
	Possible bool          `cbor:"2,keyasint,omitempty"`
	Ready    time.Duration `cbor:"3,keyasint,omitempty"`
}

// ProcedureStep carries messages of the raft groups.
const ProcedureStep = "/raft.v1/Step"

// StepRequest carries messages of one group.
type StepRequest struct {
	Group    raft.GroupID   `cbor:"1,keyasint"`
	Messages []raft.Message `cbor:"2,keyasint"`
}

// ProcedureRejoin asks the leader of a group to replace the calling voter, whose disk was lost.
const ProcedureRejoin = "/raft.v1/Rejoin"

// RejoinRequest names the group.
type RejoinRequest struct {
	Group raft.GroupID `cbor:"1,keyasint"`
}

// RejoinResponse reports whether the called host was the leader; if so, the calling host is a voter again.
type RejoinResponse struct {
	Status Status       `cbor:"1,keyasint"`
	Leader fleet.HostID `cbor:"2,keyasint,omitempty"`
}

// StepResponse acknowledges that the messages were accepted.
type StepResponse struct{}

// Procedures between entry hosts and capacity owners.
const (
	ProcedureAcquire = "/capacity.v1/Acquire"
	ProcedureRelease = "/capacity.v1/Release"
	ProcedurePreempt = "/capacity.v1/Preempt"
)

// AcquireResponse is the owner's answer; it is sent when the request is granted or refused.
type AcquireResponse struct {
	Status Status          `cbor:"1,keyasint"`
	Answer capacity.Answer `cbor:"2,keyasint"`
}

// ReleaseRequest carries outcomes of grants and withdrawn requests.
type ReleaseRequest struct {
	Releases []capacity.Release `cbor:"1,keyasint,omitempty"`
	Cancels  []capacity.Cancel  `cbor:"2,keyasint,omitempty"`
}

// PreemptRequest asks the host that holds a grant to stop the request and to acquire capacity again later.
type PreemptRequest struct {
	Grant capacity.Grant `cbor:"1,keyasint"`
}

// PreemptResponse acknowledges a PreemptRequest.
type PreemptResponse struct{}

// ReleaseResponse acknowledges a ReleaseRequest.
type ReleaseResponse struct{}

// ProcedureOverview asks the control leader for the state that only the leader has.
const ProcedureOverview = "/control.v1/Overview"

// OverviewRequest asks for an overview.
type OverviewRequest struct{}

// OverviewResponse is the state that only the control leader has.
type OverviewResponse struct {
	Status Status                 `cbor:"1,keyasint"`
	Leader fleet.HostID           `cbor:"2,keyasint,omitempty"`
	Hosts  []HostOverview         `cbor:"3,keyasint,omitempty"`
	Unmet  []placement.UnmetBound `cbor:"4,keyasint,omitempty"`
}

// HostOverview is the leader's view of one session.
type HostOverview struct {
	Host       fleet.HostID `cbor:"1,keyasint"`
	Applied    fleet.Index  `cbor:"2,keyasint"`
	LeaseValid bool         `cbor:"3,keyasint"`
}
