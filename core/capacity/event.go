package capacity

import (
	"time"

	"toucanway/core/fleet"
)

// Event is an input of a Table: one of the event types below.
type Event interface{ isEvent() }

// AcquireEvent is a request for a grant.
type AcquireEvent struct{ Acquire Acquire }

// CancelEvent withdraws a request for a grant.
type CancelEvent struct{ Cancel Cancel }

// ReleaseEvent reports the outcome of a grant.
type ReleaseEvent struct{ Release Release }

// SessionClosedEvent reports that a host's session was closed: its waiting requests are dropped, since nobody waits for the
// answer, and its grants stay allocated until an inventory resolves them.
type SessionClosedEvent struct{ Host fleet.HostID }

// AdapterEvent is the outcome of an adapter order.
type AdapterEvent struct {
	Order   fleet.OrderID
	Outcome fleet.OrderOutcome
}

// InventoryEvent is an inventory of the backend server; Asked is when the owner sent the query, on its clock.
type InventoryEvent struct {
	Asked     time.Time
	Inventory fleet.Inventory
}

// Replica is a model replica that the control state records on the backend server.
type Replica struct {
	Order  fleet.OrderID
	Model  fleet.ModelID
	Memory fleet.Bytes
	// Intended means that the load order was not sent yet. Its memory is kept free of new grants, and an AdmitLoad effect
	// follows once it fits.
	Intended bool
	// Ready means that the replica accepts requests.
	Ready bool
}

// UnresponsiveEvent reports that the backend server does not answer. Until its next inventory nothing is granted, and waiting
// requests are refused so that they can go to another backend server.
type UnresponsiveEvent struct{}

// ReplicasEvent replaces the model replicas on the backend server, those in doubt included.
type ReplicasEvent struct{ Replicas []Replica }

// SizeEvent reports that the backend server announced a different memory size or number of slots under the same
// incarnation.
type SizeEvent struct {
	Memory fleet.Bytes
	Slots  int
}

// DrainEvent reports that the backend server is leaving or failed, or that its ownership is handed over. Nothing is granted
// from then on.
type DrainEvent struct{}

// TickEvent makes the table act on deadlines and intervals that have passed. It is due at the time that Table.NextTick returns.
type TickEvent struct{}

func (AcquireEvent) isEvent()       {}
func (CancelEvent) isEvent()        {}
func (ReleaseEvent) isEvent()       {}
func (SessionClosedEvent) isEvent() {}
func (AdapterEvent) isEvent()       {}
func (InventoryEvent) isEvent()     {}
func (ReplicasEvent) isEvent()      {}
func (SizeEvent) isEvent()          {}
func (DrainEvent) isEvent()         {}
func (UnresponsiveEvent) isEvent()  {}
func (TickEvent) isEvent()          {}

// Effect is an action that the owner has to carry out: one of the effect types below.
type Effect interface{ isEffect() }

// Granted answers an Acquire with a grant.
type Granted struct {
	Host  fleet.HostID
	Grant Grant
}

// Refused answers an Acquire with a refusal.
type Refused struct {
	Host    fleet.HostID
	Request fleet.RequestID
	Refusal *fleet.Refusal
}

// Cancelled answers a Cancel of a waiting or granted request; a granted one counts as unused.
type Cancelled struct {
	Host    fleet.HostID
	Request fleet.RequestID
}

// Preempt asks a host to stop a long request, report OutcomePreempted and resume it later, so that waiting short requests
// or a model load get its slot and memory. A host may ignore it.
type Preempt struct {
	Host  fleet.HostID
	Grant Grant
}

// LoadAdapter orders the backend server to load an adapter; the outcome is reported by an AdapterEvent.
type LoadAdapter struct{ Order fleet.Order }

// UnloadAdapter orders the backend server to unload an adapter; the outcome is reported by an AdapterEvent.
type UnloadAdapter struct{ Order fleet.Order }

// AdmitLoad allows the owner to send the load order of an intended replica: its memory is free and counted from now on.
type AdmitLoad struct{ Order fleet.OrderID }

// ReadInventory asks for an inventory, which is needed before the first grant and to resolve what is in doubt. It is
// answered by an InventoryEvent.
type ReadInventory struct{}

func (Granted) isEffect()       {}
func (Refused) isEffect()       {}
func (Cancelled) isEffect()     {}
func (Preempt) isEffect()       {}
func (LoadAdapter) isEffect()   {}
func (UnloadAdapter) isEffect() {}
func (AdmitLoad) isEffect()     {}
func (ReadInventory) isEffect() {}
