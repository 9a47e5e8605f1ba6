package residency

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Action is what the caller of Planner.Next has to carry out; the types below are all of them.
type Action interface {
	// Subject is the engine that the action concerns.
	Subject() fleet.BackendID
}

// Order asks an engine to change what it holds. Planner.Ordered must follow.
type Order struct {
	Engine      fleet.BackendID
	Incarnation fleet.Incarnation
	Address     string
	Kind        fleet.OrderKind
	Target      fleet.Target
	// Expected is the number of orders that the engine has accepted before this one.
	Expected int64
	// Reason says why the order is given, for the log.
	Reason string
	// Store says that weights are to be fetched from the weight store.
	Store bool
}

// Probe asks for an engine's report. Planner.Reported or Planner.Unreported must follow.
type Probe struct {
	Engine      fleet.BackendID
	Incarnation fleet.Incarnation
	Address     string
}

// Subject returns the engine that is ordered.
func (o Order) Subject() fleet.BackendID { return o.Engine }

// Subject returns the engine that is asked.
func (p Probe) Subject() fleet.BackendID { return p.Engine }

// Outcome is what an engine answered to an order.
type Outcome uint8

// Outcomes.
const (
	// Accepted orders are being carried out.
	Accepted Outcome = iota
	// Holding means that what was ordered is the case.
	Holding
	// Conflicting means that another order is under way or that the number of accepted orders differs.
	Conflicting
	// Rejected orders are never carried out.
	Rejected
	// Unanswered orders may have been accepted, or may be carried out later.
	Unanswered
	// Unreachable engines have not received the order.
	Unreachable
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"accepted", "holding", "conflicting", "rejected", "unanswered", "unreachable"}[o]
}

// Report is an engine's account of itself, a few hundred milliseconds old.
type Report struct {
	// Accepted is the number of orders accepted since the engine's start.
	Accepted int64
	// Busy says that an order is being carried out.
	Busy   bool
	Models []registry.Model
	// Pending are adapters on their way.
	Pending []fleet.Target
	// InMemory and OnDisk are models whose weights the engine has copies of.
	InMemory, OnDisk []fleet.ModelID
}

// Timing of orders.
const (
	// AdapterLoad is how long an adapter takes while few are fetched at once.
	AdapterLoad = 12 * time.Millisecond
	// pollInterval separates reports of an engine that carries out an order for a model.
	pollInterval = 300 * time.Millisecond
	// unloadPoll is when an engine that unloads a model is first asked for a report.
	unloadPoll = 150 * time.Millisecond
	// reportLag is how old what a report tells may be.
	reportLag = 600 * time.Millisecond
	// doubtPause is the wait after an unanswered or conflicting order, so that a report shows its effect.
	doubtPause = 700 * time.Millisecond
	// retryPause is the wait after a rejected order or an engine that can't be reached.
	retryPause = time.Second
)
