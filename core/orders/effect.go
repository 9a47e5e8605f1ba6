package orders

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// Effect is what the caller has to carry out; the types below are all of them.
type Effect interface{ isEffect() }

// Propose asks to commit a command; its result is seen in the state.
type Propose struct{ Command control.Command }

// Send sends an order to one life of a backend server. It must not leave after NotAfter; it is then answered as refused.
type Send struct {
	Order       fleet.Order
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	NotAfter    time.Time
}

// ReadInventory asks the backend server for its inventory and shows it the fence; the answer goes to Owner.Inventory with
// the same Read.
type ReadInventory struct {
	Read        uint64
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	Fence       fleet.Fence
}

// StopGrants asks the capacity owner to grant no more requests on a replica that is going to be unloaded.
type StopGrants struct {
	Backend fleet.BackendID
	Model   fleet.ModelID
}

// Measured reports the end of a load for the planner's estimates.
type Measured struct {
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
func (Measured) isEffect()      {}
