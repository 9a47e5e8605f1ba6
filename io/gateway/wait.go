package gateway

import (
	"time"

	"toucanway/core/routes"
)

// choose returns a server that can take the request. It waits for one until maxWait or the deadline is over, but doesn't wait if
// the request may have run at another server.
func (x *exchange) choose() (selection, error) {
	var unregister func()
	began := time.Now()
	timer := time.NewTimer(time.Until(x.began.Add(maxWait(x.route))))
	defer timer.Stop()
	waited := false
	defer func() {
		x.proxy.view.leaveQueue(&x.waiter)
		if unregister != nil {
			unregister()
		}
		if waited {
			x.waitTime += time.Since(began)
		}
	}()
	for {
		excluded := x.triedServers
		if !x.mayHaveRun() {
			excluded = nil
		}
		k := x.constraint(excluded)
		if !x.mayHaveRun() {
			k.waiter = &x.waiter
		}
		c := x.proxy.view.pick(x.ctx, x.service, &x.req, k)
		if c.instance != nil {
			waited = waited || time.Now().Before(c.sendAt)
			return c, x.awaitGrant(&c)
		}
		if c.isRefused {
			return c, errOverloaded
		}
		if x.isLimited(&c) {
			x.limitedUntil = c.limitedUntil
			return c, errLimited
		}
		if x.mayHaveRun() {
			return c, errNoServer
		}
		if x.waitIsFutile(c) {
			return c, errPaused
		}
		waited = true
		if unregister == nil && !c.isHeld {
			unregister = x.proxy.view.registerWaiting(x.service, x.priority(), x.req.Target, x.constraint(nil))
		}
		if err := x.wait(c, timer.C); err != nil {
			return c, err
		}
	}
}

// wait returns nil once another choice may be possible, or an error once the timeout or the request's deadline has passed.
func (x *exchange) wait(c selection, timeout <-chan time.Time) error {
	var retry <-chan time.Time
	if at := c.nextTry(); !at.IsZero() {
		t := time.NewTimer(time.Until(at))
		defer t.Stop()
		retry = t.C
	}
	select {
	case <-c.changed:
	case <-x.waiter.wake:
	case <-retry:
	case <-timeout:
		return errNoServer
	case <-x.ctx.Done():
		return x.ctx.Err()
	}
	return nil
}

// maxWait returns how long a request may wait for a server. If it is refused before its caller abandons it, the caller can send it
// again.
func maxWait(r *routes.Route) time.Duration {
	if r.Kind != routes.Streaming {
		return r.Timeout
	}
	return min(streamPatience(r)-refusalMargin, r.Timeout)
}

// streamPatience returns the time without an event after which callers abandon a stream, also one that has not begun.
func streamPatience(r *routes.Route) time.Duration {
	return max(minStreamWait, objectiveWaitFactor*r.Objective, gapWaitFactor*r.GapObjective)
}
