package holdoff

import "time"

// Bounds of the delay for callers that are refused because of a pause.
const (
	// maxReturnDelay bounds the wait that callers are told of: the servers of a service change, and a caller that comes back too
	// early is only refused again.
	maxReturnDelay = time.Minute
	// Callers are told different delays, so that they do not all come back at the end of the pause. These spread over the wait
	// divided by returnSpreadShare, but over minReturnSpread at least.
	returnSpreadShare = 4
	minReturnSpread   = 500 * time.Millisecond
)

// ReturnDelay returns the delay after which a refused caller may come back if the first server takes requests again after a wait.
// Callers must differ in the random number, which is at least 0 and less than 1.
func ReturnDelay(wait time.Duration, random float64) time.Duration {
	wait = min(max(wait, 0), maxReturnDelay)
	spread := max(wait/returnSpreadShare, minReturnSpread)
	return wait + time.Duration(random*float64(spread))
}
