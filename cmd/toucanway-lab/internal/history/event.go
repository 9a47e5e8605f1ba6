package history

import (
	"time"

	"toucanway/core/fleet"
)

// Event is something that happened in a run; the types below are all of them.
type Event interface{ isEvent() }

// Key identifies what a caller wants done, across all attempts and resends.
type Key string

// Attempt identifies one sending of a request by a caller.
type Attempt struct {
	Key    Key
	Number int
}

// RequestInvoked says that a caller sent a request to an entry host.
type RequestInvoked struct {
	Attempt
	Host     fleet.HostID
	Deadline time.Duration
	// Once says that the request must not run twice.
	Once bool
}

// RequestDispatched says that an entry host sent a request to a backend server.
type RequestDispatched struct {
	Request fleet.RequestID
	Key     Key
	Host    fleet.HostID
	Backend fleet.BackendID
}

// RequestRun says that a backend server began to carry out a request.
type RequestRun struct {
	Request     fleet.RequestID
	Key         Key
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	// Waited is the time since the backend server received the request.
	Waited time.Duration
	// Resumed says that the run continues an answer of which the caller has the beginning.
	Resumed bool
}

// RequestAnswered says that a caller received an answer to its end.
type RequestAnswered struct {
	Attempt
	Request fleet.RequestID
	// FirstByte is the time from the invocation to the beginning of the answer.
	FirstByte time.Duration
	// Want and Got are the expected and the received answer, in full or as digests.
	Want, Got string
}

// RequestRefused says that a caller received a refusal.
type RequestRefused struct {
	Attempt
	Request   fleet.RequestID
	Code      fleet.Code
	Execution fleet.Execution
}

// RequestLost says that a caller's connection ended, or its deadline passed, without a whole answer or a refusal.
type RequestLost struct {
	Attempt
	Reason string
}

// TargetDecided says that the number of replicas of a model was decided.
type TargetDecided struct {
	Model fleet.ModelID
	Count int
}

// LoadDecided says that a load was decided; the order carries it out.
type LoadDecided struct {
	Order   fleet.OrderID
	Model   fleet.ModelID
	Backend fleet.BackendID
}

// LoadStarted says that a backend server gave memory to a model.
type LoadStarted struct {
	Order       fleet.OrderID
	Model       fleet.ModelID
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// LoadEnded says that a model is ready, or that its load failed and its memory was freed.
type LoadEnded struct {
	Order       fleet.OrderID
	Model       fleet.ModelID
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	Ready       bool
}

// Unloaded says that a backend server freed the memory of a model.
type Unloaded struct {
	Model       fleet.ModelID
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// OrderRefused says that a backend server refused an order.
type OrderRefused struct {
	Order   fleet.OrderID
	Backend fleet.BackendID
	Reason  string
}

// MemoryPeak is a new highest use of a backend server's memory.
type MemoryPeak struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	Used, Total fleet.Bytes
}

// BackendStarted says that a backend server began a life with empty memory.
type BackendStarted struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// BackendStopped says that a backend server's process ended.
type BackendStopped struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// BackendLeft says that an entry host accepted a backend server's leave.
type BackendLeft struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
}

// DocumentAccepted says that an operator was told that a document is accepted.
type DocumentAccepted struct {
	Version fleet.DocumentVersion
	Digest  string
}

// DocumentInForce says that a host applies a document and takes new work.
type DocumentInForce struct {
	Host    fleet.HostID
	Version fleet.DocumentVersion
}

// HostSuspended says that a host takes no new work until it next applies a document.
type HostSuspended struct{ Host fleet.HostID }

// HostUnreachable says that callers lost their links to a host, until HostReachable.
type HostUnreachable struct{ Host fleet.HostID }

// HostReachable says that callers have their links to a host again.
type HostReachable struct{ Host fleet.HostID }

// HostStopped says that a host's process was ended without a graceful shutdown.
type HostStopped struct{ Host fleet.HostID }

// ShutdownBegan says that a host was asked to shut down gracefully.
type ShutdownBegan struct{ Host fleet.HostID }

// ShutdownEnded says that a host ended its graceful shutdown.
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
