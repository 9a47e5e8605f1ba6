package capacity

import "sync/atomic"

// LoadShare bounds the adapter loads that one owner has in flight over all of its backend servers. It is safe for
// concurrent use. The zero value allows none.
type LoadShare struct {
	limit    atomic.Int64
	inFlight atomic.Int64
}

// NewLoadShare returns a share of limit loads in flight.
func NewLoadShare(limit int) *LoadShare {
	s := &LoadShare{}
	s.SetLimit(limit)
	return s
}

// SetLimit changes the share; loads in flight above it finish.
func (s *LoadShare) SetLimit(limit int) { s.limit.Store(int64(limit)) }

// InFlight returns the loads in flight.
func (s *LoadShare) InFlight() int { return int(s.inFlight.Load()) }

// take reserves one load and says whether the share allowed it.
func (s *LoadShare) take() bool {
	if s == nil {
		return true
	}
	if s.inFlight.Add(1) > s.limit.Load() {
		s.inFlight.Add(-1)
		return false
	}
	return true
}

func (s *LoadShare) give() {
	if s != nil {
		s.inFlight.Add(-1)
	}
}
