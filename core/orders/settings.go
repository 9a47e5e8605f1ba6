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
	// SessionLease and DispatchWindow are how long an earlier owner may still send orders.
	SessionLease   time.Duration
	DispatchWindow time.Duration
	// MaxOrderDelay is how late an order may arrive at an engine that ignores fencing tokens. A load in doubt that the
	// inventory does not show is given up only then.
	MaxOrderDelay time.Duration
	// InventoryInterval is the time between inventories while nothing is in doubt.
	InventoryInterval time.Duration
	// RetryInterval is the time after which a proposal or an inventory without effect is repeated.
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

// takeoverWait is how long a new owner waits until an earlier one can have sent its last order.
func (s *Settings) takeoverWait() time.Duration { return withSkew(s.SessionLease + s.DispatchWindow) }

// withSkew lengthens a wait for another host by the rate error between the clocks.
func withSkew(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*fleet.MaxClockSkewRate)
}
