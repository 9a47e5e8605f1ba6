package orders

import (
	"time"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultLoadDeadline      = 2 * time.Minute
	DefaultUnloadDeadline    = 30 * time.Second
	DefaultSessionLease      = 3 * time.Second
	DefaultDispatchWindow    = time.Second
	DefaultMaxOrderDelay     = 15 * time.Minute
	DefaultInventoryInterval = 30 * time.Second
	DefaultRetryInterval     = time.Second
)

// Settings configures an Owner; zero fields mean the defaults.
type Settings struct {
	Host fleet.HostID
	// LoadDeadline and UnloadDeadline are the times after which an unanswered order is in doubt.
	LoadDeadline   time.Duration
	UnloadDeadline time.Duration
	// SessionLease and DispatchWindow together bound how long an earlier owner may still send orders.
	SessionLease   time.Duration
	DispatchWindow time.Duration
	// MaxOrderDelay is how late an order may arrive at an engine that ignores fencing tokens. A load in doubt that is missing
	// in the inventory is given up only after this time.
	MaxOrderDelay time.Duration
	// InventoryInterval is the time between inventory reads while nothing is in doubt.
	InventoryInterval time.Duration
	// RetryInterval is the time after which a proposal or an inventory read is repeated if it had no effect.
	RetryInterval time.Duration
}

func (s *Settings) setDefaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&s.LoadDeadline, DefaultLoadDeadline)
	set(&s.UnloadDeadline, DefaultUnloadDeadline)
	set(&s.SessionLease, DefaultSessionLease)
	set(&s.DispatchWindow, DefaultDispatchWindow)
	set(&s.MaxOrderDelay, DefaultMaxOrderDelay)
	set(&s.InventoryInterval, DefaultInventoryInterval)
	set(&s.RetryInterval, DefaultRetryInterval)
}

// takeoverWait returns how long after a takeover the earlier owner may still send orders.
func (s *Settings) takeoverWait() time.Duration {
	return addClockDrift(s.SessionLease + s.DispatchWindow)
}

// addClockDrift lengthens a time that another process measures by the largest difference in rate between two clocks.
func addClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*fleet.MaxClockDrift)
}
