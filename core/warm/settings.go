package warm

import "time"

// Policy names a way to choose the time a target stays loaded after its last call.
type Policy int

// Policies of keeping warm.
const (
	// PolicyPrediction weighs costs over the gap histogram and loads ahead of predicted calls.
	PolicyPrediction Policy = iota
	// PolicyHistogram weighs costs over the gap histogram and never loads ahead.
	PolicyHistogram
	// PolicyFixed keeps a target for a fixed time.
	PolicyFixed
)

// Defaults of Settings.
const (
	DefaultFixed     = 10 * time.Minute
	DefaultMaxCycles = 6
)

// Settings configures a Tracker; zero fields mean the defaults.
type Settings struct {
	Policy Policy
	// Fixed is the time of PolicyFixed, and of targets with too few calls to judge.
	Fixed time.Duration
	// MaxCycles bounds how often a target may become idle in an hour.
	MaxCycles int
}
