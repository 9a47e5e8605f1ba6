package history

import (
	"time"

	"toucanway/core/fleet"
)

// Event is an event of a run; the types below are all kinds of events.
type Event interface{ isEvent() }

// Key identifies a caller's request across all its attempts and repetitions.
type Key string

// Attempt identifies one attempt of a caller's request.
type Attempt struct {
	Key    Key
	Number int
}

// RequestInvoked records that a caller sent a request to an entry host.
type RequestInvoked struct {
	Attempt
	Host     fleet.HostID
	Deadline time.Duration
	// NonIdempotent is true if the request is non-idempotent, so that it must not run twice.
	NonIdempotent bool
}

// RequestDispatched records that an entry host sent a request to a backend server.
type RequestDispatched struct {
	Request fleet.RequestID
	Key     Key
	Host    fleet.HostID
	Backend fleet.BackendID
}

// RequestRun records that a backend server began to carry out a request.
type RequestRun struct {
	Request     fleet.RequestID
	Key         Key
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	// Waited is the time between the arrival of the request at the backend server and its start.
	Waited time.Duration
	// Resumed is true if the run continues an answer whose beginning the caller has received.
	Resumed bool
}

// RequestAnswered records that a caller received a complete answer.
type RequestAnswered struct {
	Attempt
	Request fleet.RequestID
	// FirstByte is the time from the invocation to the beginning of the answer.
	FirstByte time.Duration
	// Want and Got are the expected and the received answer, in full or as digests.
	Want, Got string
}

// RequestRefused records that a caller received a refusal.
type RequestRefused struct {
	Attempt
	Request   fleet.RequestID
	Code      fleet.Code
	Execution fleet.Execution
}

// RequestLost records that a caller's connection ended, or its deadline passed, without a complete answer or a refusal.
type RequestLost struct {
	Attempt
	Reason string
}

// TargetDecided records that the number of replicas of a model was decided.
type TargetDecided struct {
	Model fleet.ModelID
	Count int
}

// LoadDecided records that a load was decided; the order carries it out.
type LoadDecided struct {
	Order   fleet.OrderID
	Model   fleet.ModelID
	Backend fleet.BackendID
}

// LoadStarted records that a backend server allocated memory for a model.
type LoadStarted struct {
	Order       fleet.OrderID
	Model       fleet.ModelID
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// LoadEnded records that a model is ready, or that its load failed and its memory was freed.
type LoadEnded struct {
	Order       fleet.OrderID
	Model       fleet.ModelID
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	Ready       bool
}

// Unloaded records that a backend server freed the memory of a model.
type Unloaded struct {
	Model       fleet.ModelID
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// OrderRefused records that a backend server refused an order.
type OrderRefused struct {
	Order   fleet.OrderID
	Backend fleet.BackendID
	Reason  string
}

// MemoryPeak records a new maximum of a backend server's used memory, in bytes.
type MemoryPeak struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	Used, Total fleet.Bytes
}

// BackendStarted records that a backend server started a new incarnation with empty memory.
type BackendStarted struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// BackendStopped records that a backend server's process ended.
type BackendStopped struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// BackendLeft records that an entry host accepted a backend server's leave.
type BackendLeft struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// DocumentAccepted records that an operator's document was acknowledged as accepted.
type DocumentAccepted struct {
	Version fleet.DocumentVersion
	Digest  string
}

// DocumentInForce records that a host applies a document and accepts new requests.
type DocumentInForce struct {
	Host    fleet.HostID
	Version fleet.DocumentVersion
}

// HostSuspended records that a host accepts no new requests until it next applies a document.
type HostSuspended struct{ Host fleet.HostID }

// HostUnreachable records that callers lost their links to a host, until HostReachable.
type HostUnreachable struct{ Host fleet.HostID }

// HostReachable records that callers have their links to a host again.
type HostReachable struct{ Host fleet.HostID }

// HostStopped records that a host's process was ended without a graceful shutdown.
type HostStopped struct{ Host fleet.HostID }

// ShutdownBegan records that a host was asked to shut down gracefully.
type ShutdownBegan struct{ Host fleet.HostID }

// ShutdownEnded records that a host ended its graceful shutdown.
type ShutdownEnded struct{ Host fleet.HostID }

func (RequestInvoked) isEvent()    {}
func (RequestDispatched) isEvent() {}
func (RequestRun) isEvent()        {}
func (RequestAnswered) isEvent()   {}
func (RequestRefused) isEvent()    {}
func (RequestLost) isEvent()       {}
func (TargetDecided) isEvent()     {}
func (LoadDecided) isEvent()       {}
func (LoadStarted) isEvent()       {}
func (LoadEnded) isEvent()         {}
func (Unloaded) isEvent()          {}
func (OrderRefused) isEvent()      {}
func (MemoryPeak) isEvent()        {}
func (BackendStarted) isEvent()    {}
func (BackendStopped) isEvent()    {}
func (BackendLeft) isEvent()       {}
func (DocumentAccepted) isEvent()  {}
func (DocumentInForce) isEvent()   {}
func (HostSuspended) isEvent()     {}
func (HostUnreachable) isEvent()   {}
func (HostReachable) isEvent()     {}
func (HostStopped) isEvent()       {}
func (ShutdownBegan) isEvent()     {}
func (ShutdownEnded) isEvent()     {}
