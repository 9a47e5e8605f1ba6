package orders

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// Effect is an action that the caller has to carry out: one of the effect types below.
type Effect interface{ isEffect() }

// Propose asks to commit a command to the control log. Its result appears in the control state.
type Propose struct{ Command control.Command }

// Send sends an order to one incarnation of a backend server. After NotAfter the order must not be sent; OrderRefused is then
// recorded as its outcome.
type Send struct {
	Order       fleet.Order
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	NotAfter    time.Time
}

// ReadInventory requests the inventory of the backend server and passes it the fence. The answer goes to
// Owner.RecordInventory with the same Read.
type ReadInventory struct {
	Read        uint64
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	Fence       fleet.Fence
}

// StopGrants asks the capacity owner to stop granting requests on a replica that is going to be unloaded.
type StopGrants struct {
	Backend fleet.BackendID
	Model   fleet.ModelID
}

// LoadFinished reports the outcome and the time of a load for the planner's estimates.
type LoadFinished struct {
	Order       fleet.OrderID
	Model       fleet.ModelID
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	Tier        fleet.Tier
	Took        time.Duration
	Failed      bool
}

func (Propose) isEffect()       {}
func (Send) isEffect()          {}
func (ReadInventory) isEffect() {}
func (StopGrants) isEffect()    {}
func (LoadFinished) isEffect()  {}
