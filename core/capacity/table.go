package capacity

import (
	"time"

	"toucanway/core/fleet"
)

// Settings configure a Table; zero fields mean the documented defaults.
type Settings struct {
	Backend     fleet.BackendID
	Incarnation fleet.Incarnation
	// Fence is the fencing token of the ownership.
	Fence fleet.Fence
	// Memory and Slots are what the backend server announced.
	Memory fleet.Bytes
	Slots  int
	// KVReserve is memory that adapters never take.
	KVReserve fleet.Bytes
	// ChecksFence says that the backend server refuses dispatches and orders with an older fence.
	ChecksFence bool
	// Taken is when the ownership began on the owner's clock.
	Taken time.Time
	// Window is the dispatch window, DispatchWindow by default.
	Window time.Duration
	// QueueLimit bounds the waiting requests, 1,024 by default.
	QueueLimit int
	// LongShare is the share of slots that predicted-long work may hold while others wait, three quarters by default.
	LongShare float64
	// Weight returns a tenant's share; nil means equal shares.
	Weight func(fleet.TenantID) float64
	// Loads is the owner's share of adapter loads in flight, common to its tables; nil means no bound.
	Loads *LoadShare
}

// Table is the account of one backend server under one owner. It is not safe for concurrent use.
type Table struct {
	cfg Settings
}

// New returns a table that grants nothing before its first inventory.
func New(cfg Settings) *Table { return &Table{cfg: cfg} }

// Handle applies an event and returns its effects in order.
func (t *Table) Handle(now time.Time, ev Event) []Effect { return nil }

// NextTick returns when a TickEvent is due next, and false when none is.
func (t *Table) NextTick() (time.Time, bool) { return time.Time{}, false }

// State returns the load for answers and reports.
func (t *Table) State(now time.Time) QueueState { return QueueState{} }
