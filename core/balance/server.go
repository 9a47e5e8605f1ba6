package balance

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// Outcome is the result of a request as far as it concerns the health of the server.
type Outcome uint8

// Outcomes of a request at a server.
const (
	// Answered means a complete answer without a server failure.
	Answered Outcome = iota
	// Failed means an answer that reports a failure of the server.
	Failed
	// Refused means that the server has rejected the request without running it.
	Refused
	// Lost means that no complete answer has arrived.
	Lost
	// Unconnected means that no connection could be made.
	Unconnected
	// Withdrawn means that this host or the caller has cancelled the request.
	Withdrawn
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "lost", "unconnected", "withdrawn"}[o]
}

// Parameters of the health estimate of a server.
const (
	// healthTimeConstant is the time constant with which the weights of outcomes decay.
	healthTimeConstant = 4 * time.Second
	// minAvoidTime and maxAvoidTime bound the time for which a server is avoided after a failed connection or a lost answer.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// unreachableFailures is the number of failures in a row from which a server counts as unreachable.
	unreachableFailures = 2
	// refusalAvoidTime is the time for which a server is avoided after it has rejected a request.
	refusalAvoidTime = 60 * time.Millisecond
	// timeRatioWeight is the weight of a new observation of a server's time ratio.
	timeRatioWeight = 0.2
	// sharedRatioWeight is the weight of the time ratio that the leader tells. In a large deployment a host sends to most servers
	// less than once a minute, so that its own observations are few.
	sharedRatioWeight = 0.3
	// minTimeRatio and maxTimeRatio bound the ratio of a server's times to the expected ones.
	minTimeRatio, maxTimeRatio = 0.3, 10.0
	// unreadTimeConstant is the time constant of meanUnread. It spans several reports and some prompts, so that a server which is
	// idle for a moment doesn't draw the requests of all hosts.
	unreadTimeConstant = 3 * time.Second
)

// server is this host's state for one incarnation of a backend server.
type server struct {
	incarnation   fleet.Incarnation
	active        int
	pendingPrompt fleet.Tokens
	targets       map[fleet.Target]int
	// held is the number of tokens for which the server needs memory until the requests of this host have ended.
	held fleet.Tokens
	// sentInView is the number of requests that were sent since this host has heard of the other hosts, sentTokens their memory.
	sentInView int
	sentTokens fleet.Tokens
	// otherHosts is the load of other hosts.
	otherHosts TotalLoad
	// meanUnread is the smoothed number of prompt tokens of other hosts that the server has not processed yet.
	meanUnread float64
	// withoutFirstByte holds the requests without a first byte.
	withoutFirstByte map[*Ticket]bool
	// avoidedUntil is the time until which the server is used only if there is no other. consecutiveFailures is the number of
	// failures in a row.
	avoidedUntil        time.Time
	consecutiveFailures int
	// successes and failures are the numbers of recent successes and failures, decayed until decayedAt.
	successes, failures float64
	decayedAt           time.Time
	// timeRatio is the smoothed ratio of observed to expected times to first byte.
	timeRatio float64
	// measured is timeRatio if it was observed since the last report; else 0.
	measured float64
}

func newServer(inc fleet.Incarnation) *server {
	return &server{incarnation: inc, targets: map[fleet.Target]int{}, withoutFirstByte: map[*Ticket]bool{}, timeRatio: 1}
}

func (s *server) decay(now time.Time) {
	if dt := now.Sub(s.decayedAt); dt > 0 {
		f := math.Exp(-float64(dt) / float64(healthTimeConstant))
		s.successes, s.failures, s.decayedAt = s.successes*f, s.failures*f, now
	}
}

// failureRate returns the share of failures among recent outcomes. Two assumed successes keep it low while there are few
// outcomes.
func (s *server) failureRate(now time.Time) float64 {
	s.decay(now)
	return s.failures / (s.successes + s.failures + 2)
}

// observe records the outcome of a request.
func (s *server) observe(now time.Time, o Outcome) {
	s.decay(now)
	switch o {
	case Answered:
		s.successes++
		s.consecutiveFailures = 0
	case Failed:
		s.failures++
	case Refused:
		s.avoidUntil(now.Add(refusalAvoidTime))
	case Lost, Unconnected:
		s.failures++
		d := min(minAvoidTime<<min(s.consecutiveFailures, 8), maxAvoidTime)
		s.consecutiveFailures++
		s.avoidUntil(now.Add(d))
	case Withdrawn:
	}
}

// setOtherHosts replaces the load of other hosts, which is reported at an interval.
func (s *server) setOtherHosts(load TotalLoad, interval time.Duration) {
	s.otherHosts, s.sentInView, s.sentTokens = load, 0, 0
	if load.TimeRatio > 0 {
		s.timeRatio += sharedRatioWeight * (min(max(load.TimeRatio, minTimeRatio), maxTimeRatio) - s.timeRatio)
	}
	s.meanUnread += (1 - math.Exp(-float64(interval)/float64(unreadTimeConstant))) * (float64(load.Prompt) - s.meanUnread)
}

func (s *server) avoidUntil(at time.Time) {
	if at.After(s.avoidedUntil) {
		s.avoidedUntil = at
	}
}

// observeTimeRatio records the ratio of an observed time to first byte to the expected one.
func (s *server) observeTimeRatio(ratio float64) {
	s.timeRatio += timeRatioWeight * (min(max(ratio, minTimeRatio), maxTimeRatio) - s.timeRatio)
	s.measured = s.timeRatio
}

// MeanRatio returns the smoothed time ratio of a server over the hosts' reports; a mean of 0 means that there is none yet.
func MeanRatio(mean, reported float64) float64 {
	reported = min(max(reported, minTimeRatio), maxTimeRatio)
	if mean == 0 {
		return reported
	}
	return mean + timeRatioWeight*(reported-mean)
}
