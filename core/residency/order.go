package residency

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Action is an Order or a Probe that the caller of Planner.Next has to send.
type Action interface {
	// EngineID returns the id of the engine that the action is sent to.
	EngineID() fleet.BackendID
}

// Order asks an engine to load or unload a model or an adapter. A call of Planner.HandleOutcome with its outcome must follow.
type Order struct {
	Engine      fleet.BackendID
	Incarnation fleet.Incarnation
	Address     string
	Kind        fleet.OrderKind
	Target      fleet.Target
	// Expected is the number of orders that the engine has accepted before this one.
	Expected int64
	// Reason is the reason for the order, for the log.
	Reason string
	// FromStore is set if the engine has to fetch the weights from the weight store.
	FromStore bool
}

// Probe asks an engine for its report. A call of Planner.HandleReport or Planner.HandleProbeFailure must follow.
type Probe struct {
	Engine      fleet.BackendID
	Incarnation fleet.Incarnation
	Address     string
}

// EngineID returns the id of the engine that the order is sent to.
func (o Order) EngineID() fleet.BackendID { return o.Engine }

// EngineID returns the id of the engine that is asked for its report.
func (p Probe) EngineID() fleet.BackendID { return p.Engine }

// Outcome is the result of sending an order to an engine.
type Outcome uint8

// Outcomes of sending an order.
const (
	// Accepted means that the engine carries out the order.
	Accepted Outcome = iota
	// InEffect means that the ordered state is in effect: it was before the order, or the engine has carried it out immediately.
	InEffect
	// Conflicting means that the engine carries out another order or that the number of accepted orders differs.
	Conflicting
	// Rejected means that the order will never be carried out.
	Rejected
	// Unanswered means that the order is in doubt: it may have been accepted, or may be accepted later.
	Unanswered
	// Unreachable means that the engine has not received the order.
	Unreachable
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"accepted", "holding", "conflicting", "rejected", "unanswered", "unreachable"}[o]
}

// Report is the state that an engine reports; it can be a few hundred milliseconds old.
type Report struct {
	// Accepted is the number of orders accepted since the engine's start.
	Accepted int64
	// Busy is set while the engine carries out an order.
	Busy   bool
	Models []registry.Model
	// Pending lists the adapters that are being loaded.
	Pending []fleet.Target
	// InMemory and OnDisk list the models whose weights the engine has a copy of in memory and on disk.
	InMemory, OnDisk []fleet.ModelID
}

// Timing of orders.
const (
	// AdapterLoadTime is the load time of an adapter while few adapters are fetched at once.
	AdapterLoadTime = 12 * time.Millisecond
	// pollInterval is the interval of probes of an engine that carries out an order for a model.
	pollInterval = 300 * time.Millisecond
	// unloadPollDelay is the delay from an order to unload a model to the first probe.
	unloadPollDelay = 150 * time.Millisecond
	// maxReportAge is the largest age of the state in a report.
	maxReportAge = 600 * time.Millisecond
	// inDoubtDelay is the wait after an unanswered or conflicting order, so that the next report shows the order's effect.
	inDoubtDelay = 700 * time.Millisecond
	// retryDelay is the wait after a rejected order or an unreachable engine.
	retryDelay = time.Second
)
