package gateway

import (
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// observeLimit records what an answer of a server says about its rate limit. Only a signed answer to this request shows that a limit has
// ended, since others may be older than the limit or not the server's.
func (x *exchange) observeLimit(in *registry.Instance, a AnswerInfo) {
	if !a.Limit.Named && (!a.Signed || a.ID != x.info.ID) {
		return
	}
	if x.proxy.view.observeLimit(in, a, x.sentAt) {
		x.proxy.metrics.notices.With("rate-limit").Inc(1)
	}
}

// observeLimit records what the answer to a request that was sent at a time says about the server's rate limit, and reports whether that
// is news.
func (v *View) observeLimit(in *registry.Instance, a AnswerInfo, sent time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if in = v.instanceOf(in, a); in == nil {
		return false
	}
	now, b := time.Now(), incarnationOf(in)
	known, before := v.toldLimit(in), v.rateLimit(in)
	if !v.limitNotices.Observe(now, sent, b, a.Limit, known) {
		return false
	}
	v.cfg.Log.Info(logLimit, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
		zap.Stringer("per-second", a.Limit), zap.Stringer("before", before), zap.Duration("sent-ms", now.Sub(sent)))
	return true
}

// rateLimit returns the rate limit of a server as far as this host knows; v.mu is held.
func (v *View) rateLimit(in *registry.Instance) fleet.RateLimit {
	return v.limitNotices.Limit(incarnationOf(in), v.toldLimit(in))
}

// toldLimit returns the rate limit of a server as the control group has told it; v.mu is held. The record of the server may be older.
func (v *View) toldLimit(in *registry.Instance) fleet.RateLimit {
	if now := v.instances[in.ID]; now != nil && now.Incarnation == in.Incarnation {
		return now.Limit
	}
	return in.Limit
}

func incarnationOf(in *registry.Instance) fleet.BackendIncarnation {
	return fleet.BackendIncarnation{Backend: in.ID, Incarnation: in.Incarnation}
}
