package capacity

import "sync/atomic"

// LoadShare bounds the adapter loads that one owner has in flight on all of its backend servers together. It is safe for
// concurrent use. The zero value allows none.
type LoadShare struct {
	limit    atomic.Int64
	inFlight atomic.Int64
}

// NewLoadShare returns a share that allows limit loads in flight.
func NewLoadShare(limit int) *LoadShare {
	s := &LoadShare{}
	s.SetLimit(limit)
	return s
}

// SetLimit changes the limit; loads in flight above it are left to finish.
func (s *LoadShare) SetLimit(limit int) { s.limit.Store(int64(limit)) }

// InFlight returns the loads in flight.
func (s *LoadShare) InFlight() int { return int(s.inFlight.Load()) }

// acquire reports whether the share allows another load, and counts it as in flight if so. A nil share allows all.
func (s *LoadShare) acquire() bool {
	if s == nil {
		return true
	}
	if s.inFlight.Add(1) > s.limit.Load() {
		s.inFlight.Add(-1)
		return false
	}
	return true
}

func (s *LoadShare) release() {
	if s != nil {
		s.inFlight.Add(-1)
	}
}
