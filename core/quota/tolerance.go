package quota

import (
	"time"

	"toucanway/core/fleet"
)

// Tolerance says by how much the requests of a client account may exceed its quota, over all hosts together.
type Tolerance struct {
	// Window is the length of the windows in which requests are counted.
	Window time.Duration
	// Overshoot is the share of what the quota allows in a window, Slack a number of units, by which requests may exceed it.
	Overshoot float64
	Slack     float64
}

// Units returns the number of units by which the requests of a window may exceed a quota.
func (t Tolerance) Units(rate, burst float64) float64 {
	return t.Overshoot*(rate*t.Window.Seconds()+burst) + t.Slack
}

// usable returns the part of Units that a ledger uses. The drift of the leader's clock against that of the observer is left over. Slack
// counts up to half a window of the rate and the burst, so that a slack that is meant for tokens doesn't make a quota of a few requests
// meaningless.
func (t Tolerance) usable(rate, burst float64) float64 {
	window := rate * t.Window.Seconds()
	t.Slack = min(t.Slack, window/2+burst)
	return max(t.Units(rate, burst)-fleet.MaxClockDrift*window, 0)
}
