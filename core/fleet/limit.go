package fleet

import (
	"math"
	"strconv"
)

// RateLimit is the rate of requests that a backend server takes from all hosts together; the zero value means that it names none.
type RateLimit struct {
	// Named is set if the server names a limit.
	Named bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the number of requests a second; it is 0 or more.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// minRatePerSecond is the lowest rate that counts. A server that takes no requests at all could not say that its limit has ended.
const minRatePerSecond = 0.1

// NewRateLimit returns the limit for a number of requests a second; one that is too low counts as minRatePerSecond.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{Named: true, PerSecond: min(max(perSecond, minRatePerSecond), math.MaxFloat32)}
}

// String returns the rate, or "none".
func (l RateLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}
