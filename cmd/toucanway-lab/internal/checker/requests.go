package checker

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
)

// attempt is one attempt of a request with its outcome, which is nil if there is none.
type attempt struct {
	history.RequestInvoked
	at      time.Duration
	outcome history.Event
	ended   time.Duration
}

// runTimes are the times at which backend servers ran requests.
type runTimes struct {
	byRequest map[fleet.RequestID][]time.Duration
	byKey     map[history.Key][]time.Duration
}

// attempts returns all attempts in the order in which they were sent. It reports outcomes that do not belong to one (I4).
func (c *checker) attempts() []*attempt {
	var out []*attempt
	attemptByID := map[history.Attempt]*attempt{}
	end := func(id history.Attempt, r history.Record) {
		a := attemptByID[id]
		switch {
		case a == nil:
			c.report(I4, r.At, "request %s, attempt %d, has an outcome but was never sent", id.Key, id.Number)
		case a.outcome != nil:
			c.report(I4, r.At, "request %s, attempt %d, has a second outcome", id.Key, id.Number)
		default:
			a.outcome, a.ended = r.Event, r.At
		}
	}
	for _, r := range c.records {
		switch e := r.Event.(type) {
		case history.RequestInvoked:
			a := &attempt{RequestInvoked: e, at: r.At}
			attemptByID[e.Attempt] = a
			out = append(out, a)
		case history.RequestAnswered:
			end(e.Attempt, r)
		case history.RequestRefused:
			end(e.Attempt, r)
		case history.RequestLost:
			end(e.Attempt, r)
		}
	}
	return out
}

// checkRequests checks I3 to I6.
func (c *checker) checkRequests() {
	runs := c.runs()
	attempts := c.attempts()
	nextAttempt := map[history.Key]time.Duration{}
	nonIdempotent := map[history.Key]bool{}
	for i := len(attempts) - 1; i >= 0; i-- {
		a := attempts[i]
		c.checkDeadline(a)
		switch e := a.outcome.(type) {
		case history.RequestAnswered:
			if e.Want != e.Got {
				c.report(I4, a.ended, "request %s, attempt %d, got answer %.80q, want %.80q", a.Key, a.Number, e.Got, e.Want)
			}
		case history.RequestRefused:
			c.checkNotRun(a, e, runs, nextAttempt)
		}
		nextAttempt[a.Key] = a.at
		nonIdempotent[a.Key] = nonIdempotent[a.Key] || a.NonIdempotent
	}
	for key := range nonIdempotent {
		if times := runs.byKey[key]; nonIdempotent[key] && len(times) > 1 {
			c.report(I6, times[1], "request %s ran %d times", key, len(times))
		}
	}
}

// checkDeadline checks I3: an attempt has an outcome before its deadline, unless its host was stopped or unreachable.
func (c *checker) checkDeadline(a *attempt) {
	limit := a.Deadline + c.settings.DeadlineTolerance
	switch e := a.outcome.(type) {
	case history.RequestAnswered:
		if e.FirstByte > limit {
			c.report(I3, a.ended, "request %s, attempt %d, got its first byte after %v; its deadline was %v",
				a.Key, a.Number, e.FirstByte, a.Deadline)
		}
	case history.RequestRefused:
		if took := a.ended - a.at; took > limit {
			c.report(I3, a.ended, "request %s, attempt %d, was refused after %v; its deadline was %v",
				a.Key, a.Number, took, a.Deadline)
		}
	case history.RequestLost:
		if !c.hostUnavailable(a.Host, a.at, a.ended) {
			c.report(I3, a.ended, "request %s, attempt %d, was lost: %s", a.Key, a.Number, e.Reason)
		}
	default:
		if !c.hostUnavailable(a.Host, a.at, c.end()) {
			c.report(I3, c.end(), "request %s, attempt %d, has no outcome", a.Key, a.Number)
		}
	}
}

// checkNotRun checks I5: a request that is refused as not run does not run under that request id. A non-idempotent request is
// identified by its key: it must not have run under that key before either, nor run later unless it is sent again.
func (c *checker) checkNotRun(a *attempt, e history.RequestRefused, runs runTimes, nextAttempt map[history.Key]time.Duration) {
	if e.Execution != fleet.NotRun {
		return
	}
	if len(runs.byRequest[e.Request]) > 0 {
		c.report(I5, a.ended, "request %s, attempt %d, was refused as not run, but %s ran", a.Key, a.Number, e.Request)
		return
	}
	if !a.NonIdempotent {
		return
	}
	repeatedAt, repeated := nextAttempt[a.Key]
	for _, at := range runs.byKey[a.Key] {
		if at <= a.ended || !repeated || at < repeatedAt {
			c.report(I5, a.ended, "request %s, attempt %d, was refused as not run, but ran at %v", a.Key, a.Number, at)
			return
		}
	}
}

func (c *checker) runs() runTimes {
	out := runTimes{byRequest: map[fleet.RequestID][]time.Duration{}, byKey: map[history.Key][]time.Duration{}}
	for _, r := range c.records {
		if e, ok := r.Event.(history.RequestRun); ok {
			if e.Request != "" {
				out.byRequest[e.Request] = append(out.byRequest[e.Request], r.At)
			}
			out.byKey[e.Key] = append(out.byKey[e.Key], r.At)
		}
	}
	return out
}

// hostUnavailable reports whether a host was stopped or unreachable at any time between from and to.
func (c *checker) hostUnavailable(host fleet.HostID, from, to time.Duration) bool {
	down := false
	for _, r := range c.hostRecords {
		if r.At > to {
			break
		}
		switch e := r.Event.(type) {
		case history.HostStopped:
			down = down || e.Host == host
		case history.HostUnreachable:
			down = down || e.Host == host
		case history.ShutdownEnded:
			// Callers are no longer advised to use a host that has shut down, so a later call follows expired advice.
			down = down || e.Host == host && r.At < from
		case history.HostReachable:
			down = down && (e.Host != host || r.At >= from)
		case history.DocumentInForce:
			down = down && (e.Host != host || r.At >= from)
		}
		if down && r.At >= from {
			return true
		}
	}
	return down
}

// checkShutdowns checks I8: a graceful shutdown loses no request and refuses none that was sent before it began.
func (c *checker) checkShutdowns() {
	began := map[fleet.HostID]time.Duration{}
	for _, r := range c.records {
		if e, ok := r.Event.(history.ShutdownBegan); ok {
			began[e.Host] = r.At
		}
	}
	for _, a := range c.attemptsUnreported() {
		since, ok := began[a.Host]
		if !ok || a.ended < since {
			continue
		}
		switch e := a.outcome.(type) {
		case history.RequestLost:
			if !c.hostUnavailable(a.Host, a.at, a.ended) {
				c.report(I8, a.ended, "request %s, attempt %d, was lost in the shutdown of %s", a.Key, a.Number, a.Host)
			}
		case history.RequestRefused:
			if e.Code == fleet.CodeHostDraining && a.at < since {
				c.report(I8, a.ended, "request %s, attempt %d, sent before the shutdown of %s, was refused by it",
					a.Key, a.Number, a.Host)
			}
		}
	}
}

// attemptsUnreported returns the attempts without reporting their violations a second time.
func (c *checker) attemptsUnreported() []*attempt {
	scratch := &checker{settings: c.settings, records: c.records}
	return scratch.attempts()
}
