package warm

import "time"

// Policy is a way to choose how long a target stays loaded after its last call.
type Policy int

// Keep-warm policies.
const (
	// PolicyPrediction weighs costs over the histogram of gaps between calls and preloads targets before predicted calls.
	PolicyPrediction Policy = iota
	// PolicyHistogram weighs costs over the histogram of gaps between calls and never preloads.
	PolicyHistogram
	// PolicyFixed keeps a target loaded for a fixed time.
	PolicyFixed
)

// Defaults of Settings.
const (
	DefaultKeepTime          = 10 * time.Minute
	DefaultMaxUnloadsPerHour = 6
)

// Settings configures a Tracker; zero fields mean the defaults.
type Settings struct {
	Policy Policy
	// KeepTime is the time of PolicyFixed, which also applies to targets with too few calls for the histogram.
	KeepTime time.Duration
	// MaxUnloadsPerHour bounds how often a target may be unloaded within an hour because it is idle.
	MaxUnloadsPerHour int
}
