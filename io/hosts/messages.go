package hosts

import (
	"time"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/placement"
	"toucanway/core/raft"
)

// Procedures between hosts.
const (
	ProcedureFollow  = "/control.v1/Follow"
	ProcedurePropose = "/control.v1/Propose"
	ProcedureSubmit  = "/control.v1/Submit"
)

// Status says whether a host could answer as the leader of a group.
type Status int

// Answers of group members.
const (
	StatusOK Status = iota
	// StatusNotLeader means that another member leads, named by the hint when it is known.
	StatusNotLeader
	// StatusClosed means that the calling host's session has ended, so that it must open a new one.
	StatusClosed
	// StatusUncertain means that the entry was appended and may still commit.
	StatusUncertain
)

// FollowRequest asks for the log entries after Applied and renews the session lease.
type FollowRequest struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	// Applied is the last log index in force on the host, its configuration document included.
	Applied fleet.Index `cbor:"3,keyasint"`
	// Hold is how long the answer may wait for a newer entry.
	Hold time.Duration `cbor:"4,keyasint"`
	// Seen names the backend servers that announced themselves at the host since its last request.
	Seen []control.Life `cbor:"5,keyasint,omitempty"`
}

// LogEntry is one committed entry of the control log.
type LogEntry struct {
	Index fleet.Index `cbor:"1,keyasint"`
	Data  []byte      `cbor:"2,keyasint"`
}

// FollowResponse carries newer entries, or a snapshot when they were truncated.
type FollowResponse struct {
	Status        Status       `cbor:"1,keyasint"`
	Leader        fleet.HostID `cbor:"2,keyasint,omitempty"`
	Entries       []LogEntry   `cbor:"3,keyasint,omitempty"`
	Snapshot      []byte       `cbor:"4,keyasint,omitempty"`
	SnapshotIndex fleet.Index  `cbor:"5,keyasint,omitempty"`
	// Lease is the session lease, counted by the host from the moment it sent the request; zero when none is granted.
	Lease time.Duration `cbor:"6,keyasint,omitempty"`
	// Newest says that the entries end at the leader's last applied index.
	Newest bool `cbor:"7,keyasint,omitempty"`
}

// ProposeRequest asks the leader of a group to commit an entry.
type ProposeRequest struct {
	Group uint32 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// ProposeResponse carries the state machine's result of a committed entry.
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
	// Expired names hosts whose lease ended before they had the document.
	Expired []fleet.HostID `cbor:"4,keyasint,omitempty"`
}

// ProcedureDemand tells the planner what callers of a host wait for.
const ProcedureDemand = "/placement.v1/Demand"

// DemandRequest carries a host's demand and what its backend servers told since the last one.
type DemandRequest struct {
	Demand placement.Demand       `cbor:"1,keyasint"`
	Loads  []placement.LoadResult `cbor:"2,keyasint,omitempty"`
	// Inventories carry the cached checkpoints of backend servers that the host owns.
	Inventories []fleet.Inventory `cbor:"3,keyasint,omitempty"`
	// Models asks for estimates.
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
	// Known is false when the planner sees no way to load the model now.
	Known bool          `cbor:"2,keyasint,omitempty"`
	Ready time.Duration `cbor:"3,keyasint,omitempty"`
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

// RejoinResponse says whether the host asked was the leader; the replacement has then begun.
type RejoinResponse struct {
	Status Status       `cbor:"1,keyasint"`
	Leader fleet.HostID `cbor:"2,keyasint,omitempty"`
}

// StepResponse acknowledges that the messages were taken.
type StepResponse struct{}

// Procedures between entry hosts and capacity owners.
const (
	ProcedureAcquire = "/capacity.v1/Acquire"
	ProcedureRelease = "/capacity.v1/Release"
	ProcedurePreempt = "/capacity.v1/Preempt"
)

// AcquireResponse is the owner's answer; it comes when the request is granted or refused.
type AcquireResponse struct {
	Status Status          `cbor:"1,keyasint"`
	Answer capacity.Answer `cbor:"2,keyasint"`
}

// ReleaseRequest carries outcomes of grants and withdrawn requests.
type ReleaseRequest struct {
	Releases []capacity.Release `cbor:"1,keyasint,omitempty"`
	Cancels  []capacity.Cancel  `cbor:"2,keyasint,omitempty"`
}

// PreemptRequest asks the host of a grant to stop its request for now and to acquire again later.
type PreemptRequest struct {
	Grant capacity.Grant `cbor:"1,keyasint"`
}

// PreemptResponse acknowledges a PreemptRequest.
type PreemptResponse struct{}

// ReleaseResponse acknowledges a ReleaseRequest.
type ReleaseResponse struct{}

// ProcedureOverview asks the control leader for what only it knows.
const ProcedureOverview = "/control.v1/Overview"

// OverviewRequest asks for an overview.
type OverviewRequest struct{}

// OverviewResponse is what only the control leader knows.
type OverviewResponse struct {
	Status Status                 `cbor:"1,keyasint"`
	Leader fleet.HostID           `cbor:"2,keyasint,omitempty"`
	Hosts  []HostOverview         `cbor:"3,keyasint,omitempty"`
	Unmet  []placement.UnmetBound `cbor:"4,keyasint,omitempty"`
}

// HostOverview is one session as the leader sees it.
type HostOverview struct {
	Host       fleet.HostID `cbor:"1,keyasint"`
	Applied    fleet.Index  `cbor:"2,keyasint"`
	LeaseValid bool         `cbor:"3,keyasint"`
}
