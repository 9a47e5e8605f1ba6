package accounts

import "time"

// marginShare is the share of the bound that is kept as a margin. It covers the drift between the clocks of this host and of the control
// group (at most 1%, see fleet.MaxClockDrift) several times, and leaves a host that has lost contact at least three of five seconds.
const marginShare = 20

// Freshness is the rule by which a host serves client accounts only while its configuration is recent enough. Bound is the time after the
// acknowledgement of a configuration from which no request may run with a key that it removes; 0 means that there is no bound.
type Freshness struct {
	Bound time.Duration
}

// Limit returns the age of the last confirmation from which accounts are no longer served; 0 means that there is no limit.
func (f Freshness) Limit() time.Duration { return f.Bound - f.Bound/marginShare }

// Allows reports whether accounts may be served at a time, given the time up to which the control group has confirmed the configuration.
// Both are read on the host's clock, which must include suspension, and now must be read after the request has arrived.
//
// A request that is allowed was sent before now, and every configuration that the host doesn't have was acknowledged after confirmedAt. So
// the request was sent less than Bound after the acknowledgement, however long it waits for a server afterwards.
func (f Freshness) Allows(now, confirmedAt time.Time) bool {
	return f.Bound <= 0 || !confirmedAt.IsZero() && now.Sub(confirmedAt) < f.Limit()
}
