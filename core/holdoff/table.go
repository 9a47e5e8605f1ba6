package holdoff

import (
	"iter"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Notice is what a server says in an answer about further requests from the host that it answers; the zero value says nothing.
type Notice struct {
	// Leaving is set if the server is about to stop and takes no further requests.
	Leaving bool
	// Pause is the time for which the server wants no requests; 0 means none.
	Pause time.Duration
}

// Change is what an answer has changed in a Table, as far as others need to know.
type Change struct {
	// Leaving is set if the server was not known to leave.
	Leaving bool
	// PausedUntil is the end of a pause that has begun, or that has grown by minGrowth or more since it was returned last; zero
	// otherwise.
	PausedUntil time.Time
	// Resumed is set if the server takes requests after a pause again that it did not take before this answer.
	Resumed bool
}

// State says whether a server takes requests from this host.
type State uint8

// States of servers.
const (
	// Open means that requests may be sent to the server.
	Open State = iota
	// Leaving means that the server is about to stop. An incarnation never returns from this state.
	Leaving
	// Paused means that the server wants no requests until a time.
	Paused
	// Resuming means that the first requests after a pause are under way, and that others wait for their answers or for a time.
	Resuming
)

// Timing of pauses.
const (
	// maxPause bounds the part of a pause that counts, so that its end can be represented. No server runs for as long.
	maxPause = 100 * 365 * 24 * time.Hour
	// minGrowth is the growth of a pause from which Observe returns it again.
	minGrowth = time.Second
	// After a pause, firstRequests may be sent, and as many more for each answer without a further pause, so that the requests that
	// have waited do not all arrive at once. The limit ends resumeTime after the first request: a server that has not refused it by
	// then may need longer for its answer.
	firstRequests = 2
	resumeTime    = 500 * time.Millisecond
)

// Table holds the newest notices of servers. The zero value is empty. Notices outlive the record of the server in the registry: a
// leader that has not heard of a server for some time registers the same incarnation again.
type Table struct {
	servers registry.Incarnations[server]
}

// server is the record of one incarnation of a server.
type server struct {
	leaving bool
	// pausedUntil is the end of the last pause, returnedUntil the end that Observe returned last. Both are zero without a pause.
	pausedUntil, returnedUntil time.Time
	// allowed is the number of further requests that may be sent after the pause until openAt, which is zero before the first one.
	allowed int
	openAt  time.Time
}

// Observe records the notice of an answer, also if it says nothing, and returns what that changes.
func (t *Table) Observe(now time.Time, id fleet.BackendID, inc fleet.Incarnation, n Notice) Change {
	if n == (Notice{}) {
		return Change{Resumed: t.resume(now, id, inc)}
	}
	s := t.record(id, inc)
	if s == nil {
		return Change{}
	}
	c := Change{Leaving: n.Leaving && !s.leaving}
	s.leaving = s.leaving || n.Leaving
	if n.Pause > 0 {
		c.PausedUntil = s.pause(now, n.Pause)
	}
	return c
}

// pause begins a pause or extends the one under way, which a shorter one doesn't end, and returns Change.PausedUntil.
func (s *server) pause(now time.Time, d time.Duration) time.Time {
	end := now.Add(addClockDrift(min(d, maxPause)))
	if end.Before(s.pausedUntil) {
		return time.Time{}
	}
	begins := !now.Before(s.pausedUntil)
	s.pausedUntil, s.allowed, s.openAt = end, firstRequests, time.Time{}
	if !begins && end.Sub(s.returnedUntil) < minGrowth {
		return time.Time{}
	}
	s.returnedUntil = end
	return end
}

// addClockDrift lengthens a time that the server measures by the largest difference in rate between two clocks.
func addClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*fleet.MaxClockDrift)
}

// resume allows further requests to a server that has answered after its pause, and reports whether it took none before.
func (t *Table) resume(now time.Time, id fleet.BackendID, inc fleet.Incarnation) bool {
	s := t.find(id, inc)
	if s == nil || s.openAt.IsZero() {
		return false
	}
	s.allowed += firstRequests
	return s.allowed == firstRequests && now.Before(s.openAt)
}

// Begin records that a request is about to be sent to an incarnation, which must be Open.
func (t *Table) Begin(now time.Time, id fleet.BackendID, inc fleet.Incarnation) {
	s := t.find(id, inc)
	if s == nil || s.pausedUntil.IsZero() {
		return
	}
	switch {
	case s.openAt.IsZero():
		s.openAt = now.Add(resumeTime)
		s.allowed--
	case now.Before(s.openAt):
		s.allowed--
	default:
		s.pausedUntil, s.returnedUntil, s.openAt = time.Time{}, time.Time{}, time.Time{}
	}
}

// find returns the record of an incarnation, or nil.
func (t *Table) find(id fleet.BackendID, inc fleet.Incarnation) *server {
	return t.servers.Get(fleet.BackendIncarnation{Backend: id, Incarnation: inc})
}

// record returns the record of an incarnation and creates it if there is none, or returns nil if a later incarnation is on record.
func (t *Table) record(id fleet.BackendID, inc fleet.Incarnation) *server {
	if s := t.find(id, inc); s != nil {
		return s
	}
	return t.servers.Put(fleet.BackendIncarnation{Backend: id, Incarnation: inc}, server{})
}

// State returns the state of an incarnation, and the time at which Paused or Resuming ends.
func (t *Table) State(now time.Time, id fleet.BackendID, inc fleet.Incarnation) (State, time.Time) {
	s := t.find(id, inc)
	switch {
	case s == nil:
		return Open, time.Time{}
	case s.leaving:
		return Leaving, time.Time{}
	case now.Before(s.pausedUntil):
		return Paused, s.pausedUntil
	case s.allowed <= 0 && now.Before(s.openAt):
		return Resuming, s.openAt
	default:
		return Open, time.Time{}
	}
}

// Paused returns the incarnations that want no requests now, with the end of each pause.
func (t *Table) Paused(now time.Time) iter.Seq2[fleet.BackendIncarnation, time.Time] {
	return func(yield func(fleet.BackendIncarnation, time.Time) bool) {
		for b, s := range t.servers.All() {
			if !s.leaving && now.Before(s.pausedUntil) && !yield(b, s.pausedUntil) {
				return
			}
		}
	}
}
