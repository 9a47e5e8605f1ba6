package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/registry"
)

// Log messages of what backend servers say in their answers.
const (
	logLeaving = "backend server says that it leaves"
	logPaused  = "backend server wants no requests from this host for some time"
	logLimit   = "backend server has changed its rate limit"
)

// observe records what the answer to a request that was sent at a time says about further requests. It is called for each answer whose
// headers arrive, also those that are skipped because they belong to an earlier request.
func (x *exchange) observe(in *registry.Instance, a AnswerInfo, sent time.Time) {
	x.observeLimit(in, a, sent)
	c := x.proxy.view.observeAnswer(in, a)
	if c.Leaving {
		x.proxy.metrics.notices.With("leaving").Inc(1)
	}
	if !c.PausedUntil.IsZero() {
		x.proxy.metrics.notices.With("pause").Inc(1)
	}
}

// observeAnswer records what the answer of a server says about further requests, and returns what that changes.
func (v *View) observeAnswer(in *registry.Instance, a AnswerInfo) holdoff.Change {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if in = v.instanceOf(in, a); in == nil {
		return holdoff.Change{}
	}
	c := v.holdoffs.Observe(now, in.ID, in.Incarnation, a.Notice)
	if c.Leaving {
		v.cfg.Log.Info(logLeaving, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)))
		v.triggerReport()
	}
	if !c.PausedUntil.IsZero() {
		v.cfg.Log.Info(logPaused, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
			zap.Duration("asked-ms", a.Notice.Pause), zap.Duration("until-ms", c.PausedUntil.Sub(now)))
	}
	if c.Resumed || !c.PausedUntil.IsZero() {
		v.notifyChanged()
	}
	return c
}

// instanceOf returns the server that has answered a request to in, or nil if this host doesn't know it; v.mu is held. Another server may
// have taken over the address.
func (v *View) instanceOf(in *registry.Instance, a AnswerInfo) *registry.Instance {
	if a.Instance != "" && a.Instance != in.ID {
		return v.instances[a.Instance]
	}
	return in
}

// unreportedLeaving returns the servers that have said that they leave and that the leader reports as ready; v.mu is held.
func (v *View) unreportedLeaving() []fleet.BackendIncarnation {
	var out []fleet.BackendIncarnation
	now := time.Now()
	for _, in := range v.instances {
		if state, _ := v.holdoffs.State(now, in.ID, in.Incarnation); state == holdoff.Leaving && in.State == registry.Ready {
			out = append(out, incarnationOf(in))
		}
	}
	return out
}

// maySend reports whether a request for which a server was chosen may be written to it.
func (v *View) maySend(c *selection) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !c.isGranted && v.rateLimit(c.instance).Named {
		return false
	}
	state, _ := v.holdoffs.State(time.Now(), c.instance.ID, c.instance.Incarnation)
	return state != holdoff.Leaving && state != holdoff.Paused
}

// firstReopening returns the end of the first pause if all of the instances have asked for one, else the zero time; v.mu is held.
func (v *View) firstReopening(now time.Time, instances []*registry.Instance) time.Time {
	var first time.Time
	for _, in := range instances {
		state, until := v.holdoffs.State(now, in.ID, in.Incarnation)
		if state != holdoff.Paused {
			return time.Time{}
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// returnDelay returns the delay after which a refused caller may come back: until the first pause ends if all servers that could take
// the request have asked for one, else retryAfter.
func (v *View) returnDelay(service fleet.ServiceID, r *balance.Request, k constraint) time.Duration {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	first := v.firstReopening(now, v.eligible(now, service, r, k))
	if first.IsZero() {
		return retryAfter
	}
	return holdoff.ReturnDelay(first.Sub(now), rand.Float64())
}

// waitIsFutile reports whether no server will take the request while it may wait, since all have asked for longer pauses.
func (x *exchange) waitIsFutile(c selection) bool {
	if c.pausedUntil.IsZero() {
		return false
	}
	end := x.began.Add(maxWait(x.route))
	if x.deadline.Before(end) {
		end = x.deadline
	}
	return !c.pausedUntil.Before(end)
}
