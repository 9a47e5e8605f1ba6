package checker

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
)

// attempt is one sending of a request with what became of it.
type attempt struct {
	history.RequestInvoked
	at      time.Duration
	outcome history.Event
	ended   time.Duration
}

type runs struct {
	byRequest map[fleet.RequestID][]time.Duration
	byKey     map[history.Key][]time.Duration
}

// attempts returns all attempts in the order of their invocation.
func (c *checker) attempts() []*attempt {
	var out []*attempt
	by := map[history.Attempt]*attempt{}
	end := func(id history.Attempt, r history.Record) {
		a := by[id]
		switch {
		case a == nil:
			c.report(I4, r.At, "request %s, attempt %d, has an outcome and was never sent", id.Key, id.Number)
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
			by[e.Attempt] = a
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

// requests checks I3 to I6.
func (c *checker) requests() {
	ran := c.runs()
	attempts := c.attempts()
	next := map[history.Key]time.Duration{}
	once := map[history.Key]bool{}
	for i := len(attempts) - 1; i >= 0; i-- {
		a := attempts[i]
		c.inTime(a)
		switch e := a.outcome.(type) {
		case history.RequestAnswered:
			if e.Want != e.Got {
				c.report(I4, a.ended, "request %s, attempt %d, got %.80q and should get %.80q", a.Key, a.Number, e.Got, e.Want)
			}
		case history.RequestRefused:
			c.truthful(a, e, ran, next)
		}
		next[a.Key] = a.at
		once[a.Key] = once[a.Key] || a.Once
	}
	for key := range once {
		if times := ran.byKey[key]; once[key] && len(times) > 1 {
			c.report(I6, times[1], "request %s ran %d times", key, len(times))
		}
	}
}

// inTime checks I3: an attempt has an outcome before its deadline, unless its host was stopped or cut off.
func (c *checker) inTime(a *attempt) {
	limit := a.Deadline + c.settings.CallerDelay
	switch e := a.outcome.(type) {
	case history.RequestAnswered:
		if e.FirstByte > limit {
			c.report(I3, a.ended, "request %s, attempt %d, is served after %v and its deadline was %v",
				a.Key, a.Number, e.FirstByte, a.Deadline)
		}
	case history.RequestRefused:
		if took := a.ended - a.at; took > limit {
			c.report(I3, a.ended, "request %s, attempt %d, is refused after %v and its deadline was %v",
				a.Key, a.Number, took, a.Deadline)
		}
	case history.RequestLost:
		if !c.excused(a.Host, a.at, a.ended) {
			c.report(I3, a.ended, "request %s, attempt %d, is dropped: %s", a.Key, a.Number, e.Reason)
		}
	default:
		if !c.excused(a.Host, a.at, c.end()) {
			c.report(I3, c.end(), "request %s, attempt %d, has no outcome", a.Key, a.Number)
		}
	}
}

// truthful checks I5: what is refused as not run is not run under that request id. A request that must run once is
// known by its key, so it must not have run before either, nor later without being sent again.
func (c *checker) truthful(a *attempt, e history.RequestRefused, ran runs, next map[history.Key]time.Duration) {
	if e.Execution != fleet.NotRun {
		return
	}
	if len(ran.byRequest[e.Request]) > 0 {
		c.report(I5, a.ended, "request %s, attempt %d, is refused as not run, and %s ran", a.Key, a.Number, e.Request)
		return
	}
	if !a.Once {
		return
	}
	resent, again := next[a.Key]
	for _, at := range ran.byKey[a.Key] {
		if at <= a.ended || !again || at < resent {
			c.report(I5, a.ended, "request %s, attempt %d, is refused as not run, and ran at %v", a.Key, a.Number, at)
			return
		}
	}
}

func (c *checker) runs() runs {
	out := runs{byRequest: map[fleet.RequestID][]time.Duration{}, byKey: map[history.Key][]time.Duration{}}
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

// excused reports whether a host was stopped or unreachable at some time of an interval.
func (c *checker) excused(host fleet.HostID, from, to time.Duration) bool {
	down := false
	for _, r := range c.hosts {
		if r.At > to {
			break
		}
		switch e := r.Event.(type) {
		case history.HostStopped:
			down = down || e.Host == host
		case history.HostUnreachable:
			down = down || e.Host == host
		case history.ShutdownEnded:
			// A host that is gone was not advised any more, so whoever calls it uses an expired advice.
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

// shutdowns checks I8: a graceful shutdown loses no request and refuses none that was sent before it began.
func (c *checker) shutdowns() {
	began := map[fleet.HostID]time.Duration{}
	for _, r := range c.records {
		if e, ok := r.Event.(history.ShutdownBegan); ok {
			began[e.Host] = r.At
		}
	}
	for _, a := range c.attemptsOnce() {
		since, ok := began[a.Host]
		if !ok || a.ended < since {
			continue
		}
		switch e := a.outcome.(type) {
		case history.RequestLost:
			if !c.excused(a.Host, a.at, a.ended) {
				c.report(I8, a.ended, "request %s, attempt %d, is lost in the shutdown of %s", a.Key, a.Number, a.Host)
			}
		case history.RequestRefused:
			if e.Code == fleet.CodeHostDraining && a.at < since {
				c.report(I8, a.ended, "request %s, attempt %d, sent before the shutdown of %s, is refused by it",
					a.Key, a.Number, a.Host)
			}
		}
	}
}

// attemptsOnce returns the attempts without reporting their faults a second time.
func (c *checker) attemptsOnce() []*attempt {
	silent := &checker{settings: c.settings, records: c.records}
	return silent.attempts()
}
