package overload

import (
	"time"

	"toucanway/core/fleet"
)

// Request describes a request for the decision on it.
type Request struct {
	Service fleet.ServiceID
	Target  fleet.Target
	// Priority ranks requests; 0 is served first.
	Priority int
	Account  fleet.AccountID
	// Session names what the prompt shares with other requests, Kind the kind of request; both may be empty.
	Session, Kind string
	// Size is a class of the size, in which larger requests have higher numbers; 0 is not a class.
	Size    int
	Arrived time.Time
	// OnTime is the time until which the first byte of the answer is on time, Deadline the one until which the caller waits for it.
	OnTime, Deadline time.Time
	// Seniority is the time since the caller was first refused, if it has come back when it was asked to.
	Seniority time.Duration
}

// Server is what is known of the room at a server that can take a request.
type Server struct {
	ID fleet.BackendID
	// Places is the number of requests that the server runs at once, Taken the number that all hosts have there as far as known, Own that
	// of this host. Places is 0 if it is not known.
	Places, Taken, Own int
	// Needs is the number of places that the request takes, according to its memory; below 1 counts as 1.
	Needs int
	// Expected is the expected time to the first byte if the request is sent there now.
	Expected time.Duration
}

func (s *Server) needs() int {
	if s.Places > 0 {
		// A request of any size must fit into a server that is half empty.
		return max(min(s.Needs, s.Places/2), 1)
	}
	return 1
}

// HasRoom reports whether the server has places for the request as far as known.
func (s *Server) HasRoom() bool { return s.Places == 0 || s.Places-s.Taken >= s.needs() }

// Ticket identifies a waiting request of one Policy; 0 identifies none.
type Ticket uint64

// entry is a waiting request.
type entry struct {
	Request
	ticket  Ticket
	servers []Server
	// expected is the lowest expected time to first byte at the servers.
	expected time.Duration
	since    time.Time
	// sentBefore is the number of requests of the class that were sent before this one waited.
	sentBefore int
	// bypassed counts the requests that were sent before this one although they came after it in the order.
	bypassed int
}

// canBeOnTime reports whether an answer that begins after the expected time is on time.
func (e *entry) canBeOnTime(now time.Time) bool { return !now.Add(e.expected).After(e.OnTime) }

// due returns the time by which the entry is ordered among those of its priority.
func (e *entry) due(onTime bool) time.Time {
	if onTime {
		return e.OnTime.Add(-min(e.Seniority, e.OnTime.Sub(e.Arrived)))
	}
	return e.Deadline
}

// precedes reports whether e is served before f.
func (e *entry) precedes(now time.Time, f *entry) bool {
	if e.Priority != f.Priority {
		return e.Priority < f.Priority
	}
	a, b := e.canBeOnTime(now), f.canBeOnTime(now)
	if a != b {
		return a
	}
	if d := e.due(a).Compare(f.due(b)); d != 0 {
		return d < 0
	}
	return e.ticket < f.ticket
}

// class returns the class of the request.
func (r *Request) class() Class { return Class{r.Service, r.Target.Model, r.Priority} }

// on returns the entry's record of a server, or nil if the server can't take it.
func (e *entry) on(id fleet.BackendID) *Server {
	for i := range e.servers {
		if e.servers[i].ID == id {
			return &e.servers[i]
		}
	}
	return nil
}
