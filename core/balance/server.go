package balance

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// Outcome is how a request ended at a server, as far as it tells about the server.
type Outcome uint8

// Outcomes.
const (
	// Answered requests got a whole answer that is no failure of the server.
	Answered Outcome = iota
	// Failed requests got an answer that says that the server failed.
	Failed
	// Refused requests were rejected without being run.
	Refused
	// Lost requests got no whole answer.
	Lost
	// Unconnected requests found no connection.
	Unconnected
	// Withdrawn requests were given up by this host or its caller.
	Withdrawn
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "lost", "unconnected", "withdrawn"}[o]
}

// Health of a server.
const (
	// healthWindow is the time constant with which outcomes are forgotten.
	healthWindow = 4 * time.Second
	// avoidFirst and avoidMost bound the time for which a server without a connection or answer is avoided.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 4 * time.Second
	// unreachableMisses is the number of failures in a row from which a server counts as unreachable.
	unreachableMisses = 2
	// refusedPause is how long a server that refused a request is avoided.
	refusedPause = 60 * time.Millisecond
	// paceWeight is the weight of a new observation of a server's pace.
	paceWeight = 0.2
	// minPace and maxPace bound the factor by which a server's times differ from the expected ones.
	minPace, maxPace = 0.3, 10.0
)

// server is what this host knows of one incarnation of a backend server.
type server struct {
	incarnation fleet.Incarnation
	active      int
	prompt      fleet.Tokens
	targets     map[fleet.Target]int
	// others is what other hosts have under way.
	others Sum
	// waiting holds the requests without a first byte.
	waiting map[*Ticket]bool
	// avoid is until when the server is used only if there is no other; misses counts the failures in a row.
	avoid  time.Time
	misses int
	// good and bad are weights of outcomes of late.
	good, bad float64
	at        time.Time
	// pace is the ratio of observed to expected times to the first byte.
	pace float64
}

func newServer(inc fleet.Incarnation) *server {
	return &server{incarnation: inc, targets: map[fleet.Target]int{}, waiting: map[*Ticket]bool{}, pace: 1}
}

func (s *server) decay(now time.Time) {
	if dt := now.Sub(s.at); dt > 0 {
		f := math.Exp(-float64(dt) / float64(healthWindow))
		s.good, s.bad, s.at = s.good*f, s.bad*f, now
	}
}

// failureRate returns the share of failures of late, with a weight of two for no failures.
func (s *server) failureRate(now time.Time) float64 {
	s.decay(now)
	return s.bad / (s.good + s.bad + 2)
}

// observe takes in the outcome of a request.
func (s *server) observe(now time.Time, o Outcome) {
	s.decay(now)
	switch o {
	case Answered:
		s.good++
		s.misses = 0
	case Failed:
		s.bad++
	case Refused:
		s.avoidUntil(now.Add(refusedPause))
	case Lost, Unconnected:
		s.bad++
		d := min(avoidFirst<<min(s.misses, 8), avoidMost)
		s.misses++
		s.avoidUntil(now.Add(d))
	case Withdrawn:
	}
}

func (s *server) avoidUntil(at time.Time) {
	if at.After(s.avoid) {
		s.avoid = at
	}
}

// observePace takes in how a time to the first byte compared with the expected one.
func (s *server) observePace(ratio float64) {
	s.pace += paceWeight * (min(max(ratio, minPace), maxPace) - s.pace)
}
