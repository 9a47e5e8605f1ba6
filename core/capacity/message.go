package capacity

import (
	"time"

	"toucanway/core/fleet"
)

// DispatchWindow is how long after a grant its request may be dispatched.
const DispatchWindow = time.Second

// Acquire asks the owner of a backend server for memory and a slot.
type Acquire struct {
	Backend fleet.BackendID `cbor:"1,keyasint"`
	Host    fleet.HostID    `cbor:"2,keyasint"`
	Request fleet.RequestID `cbor:"3,keyasint"`
	Target  fleet.Target    `cbor:"4,keyasint"`
	Class   fleet.Class     `cbor:"5,keyasint"`
	// Deadline is the time left until the request needs its slot.
	Deadline time.Duration  `cbor:"6,keyasint"`
	Tenant   fleet.TenantID `cbor:"7,keyasint"`
	// Memory is the KV cache estimate: prompt plus maximum output tokens, times bytes per token.
	Memory fleet.Bytes `cbor:"8,keyasint"`
	// Tokens is the expected number of prompt and output tokens, charged to the tenant's fair share.
	Tokens fleet.Tokens `cbor:"9,keyasint"`
	// Long means that the output is predicted to be long.
	Long bool `cbor:"10,keyasint,omitempty"`
	// Alone asks for the whole backend server, for a request suspected of crashing it.
	Alone bool `cbor:"11,keyasint,omitempty"`
	// AdapterMemory is the size of the target's adapter; zero for a base model.
	AdapterMemory fleet.Bytes `cbor:"12,keyasint,omitempty"`
	// Preemptible means that the host can stop the request and resume it later under a new grant.
	Preemptible bool `cbor:"13,keyasint,omitempty"`
	// Resumed means that a part of the answer was delivered already. The request is then not refused for its expected wait or
	// for a full queue.
	Resumed bool `cbor:"14,keyasint,omitempty"`
}

// Grant allows one dispatch to a backend server.
type Grant struct {
	Backend fleet.BackendID `cbor:"1,keyasint"`
	Fence   fleet.Fence     `cbor:"2,keyasint"`
	ID      fleet.GrantID   `cbor:"3,keyasint"`
	Request fleet.RequestID `cbor:"4,keyasint"`
	// Waited is the time between the arrival of the Acquire and the grant, on the owner's clock.
	Waited time.Duration `cbor:"5,keyasint"`
	// Window is the time allowed for the dispatch. The host counts Waited plus Window from when it sent the Acquire, so that
	// a grant that is delayed on its way back is not used after the window has ended for the owner.
	Window time.Duration `cbor:"6,keyasint"`
}

// DispatchBefore returns the last moment for dispatch, on the clock of the host that sent the Acquire at sent.
func (g *Grant) DispatchBefore(sent time.Time) time.Time {
	return sent.Add(time.Duration(float64(g.Waited+g.Window) * (1 - fleet.MaxClockDrift)))
}

// QueueState is the load of a backend server as its owner sees it, sent with every answer.
type QueueState struct {
	Waiting int         `cbor:"1,keyasint"`
	Granted int         `cbor:"2,keyasint"`
	Slots   int         `cbor:"3,keyasint"`
	Free    fleet.Bytes `cbor:"4,keyasint"`
	// Wait is the expected time until a new request of class standard gets a slot.
	Wait time.Duration `cbor:"5,keyasint"`
}

// Answer is the owner's answer to an Acquire: a grant or a refusal, with the state of the queue.
type Answer struct {
	Grant   *Grant         `cbor:"1,keyasint,omitempty"`
	Refusal *fleet.Refusal `cbor:"2,keyasint,omitempty"`
	Queue   QueueState     `cbor:"3,keyasint"`
}

// Outcome says how the use of a grant ended, or how it proceeds.
type Outcome int

// Outcomes reported for a grant.
const (
	// OutcomeDone means that the backend server finished the request or confirmed its cancellation.
	OutcomeDone Outcome = iota
	// OutcomeUnused means that the host never dispatched the request and never will.
	OutcomeUnused
	// OutcomeInDoubt means that the request was dispatched and may still run; an inventory resolves it.
	OutcomeInDoubt
	// OutcomeDispatched confirms the dispatch; the grant stays allocated.
	OutcomeDispatched
	// OutcomePreempted means that the host stopped the request as a Preempt asked, and will acquire again to resume it.
	OutcomePreempted
	// OutcomeExceededPrediction means that the running request exceeded its predicted output length; the grant stays allocated.
	OutcomeExceededPrediction
)

// Release reports the outcome of a grant; hosts send them in batches.
type Release struct {
	Backend fleet.BackendID `cbor:"1,keyasint"`
	Fence   fleet.Fence     `cbor:"2,keyasint"`
	ID      fleet.GrantID   `cbor:"3,keyasint"`
	Host    fleet.HostID    `cbor:"4,keyasint"`
	Outcome Outcome         `cbor:"5,keyasint"`
	// Tokens is the number of prompt and output tokens processed; zero when unknown.
	Tokens fleet.Tokens `cbor:"6,keyasint,omitempty"`
}

// Cancel withdraws an Acquire that the host no longer waits for.
type Cancel struct {
	Backend fleet.BackendID `cbor:"1,keyasint"`
	Host    fleet.HostID    `cbor:"2,keyasint"`
	Request fleet.RequestID `cbor:"3,keyasint"`
}
