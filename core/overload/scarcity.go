package overload

import (
	"time"

	"toucanway/core/fleet"
)

// MaxViewAge is the age at which the view of the requests that wait at other hosts is dropped.
const MaxViewAge = time.Second

// Work is a number of requests that wait for room at servers that could run them.
type Work struct {
	// OnTime is the number of those that can still be on time, Late that of the others.
	OnTime int `cbor:"1,keyasint,omitempty"`
	Late   int `cbor:"2,keyasint,omitempty"`
}

// Class is a kind of waiting work.
type Class struct {
	Service  fleet.ServiceID `cbor:"1,keyasint,omitempty"`
	Model    fleet.ModelID   `cbor:"2,keyasint,omitempty"`
	Priority int             `cbor:"3,keyasint,omitempty"`
}

// Scarcity is the work that waits at other hosts. The zero value knows of none.
type Scarcity struct {
	// AsOf is the time at which the request for the view was sent, on a clock that includes suspension.
	AsOf time.Time
	// Waiting returns the work of a class.
	Waiting func(Class) Work
	// Priorities lists the priorities of the work, in ascending order.
	Priorities []int
}

// known reports whether the view names any work.
func (s *Scarcity) known() bool { return len(s.Priorities) > 0 }

// ahead returns the number of requests at other hosts that go before one, and that of those with an equal claim.
func (s *Scarcity) ahead(r *Request, onTime bool) (before, equal int) {
	for _, p := range s.Priorities {
		if p > r.Priority {
			break
		}
		w := s.Waiting(Class{r.Service, r.Target.Model, p})
		switch {
		case p < r.Priority:
			before += w.OnTime + w.Late
		case onTime:
			equal += w.OnTime
		default:
			before += w.OnTime
			equal += w.Late
		}
	}
	return before, equal
}
