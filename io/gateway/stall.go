package gateway

import (
	"context"
	"maps"
	"math"
	"time"

	"toucanway/core/fleet"
)

// stallWatch ends an attempt at a stream that makes no event while another server can go on with it. A stream that cannot go on
// elsewhere is left alone until its caller leaves or its deadline passes: a slow one may be sound. The zero value watches nothing.
type stallWatch struct {
	timer   *time.Timer
	timeout time.Duration
}

// watchStall returns the context of an attempt at a server and begins a watch that ends it with errStalled; stop must be called.
func (x *exchange) watchStall(id fleet.BackendID) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	x.endAttempt = cancel
	tried := maps.Clone(x.triedServers)
	tried[id] = true
	x.stall = stallWatch{}
	if !x.route.Resumable || len(tried) >= x.route.MaxAttempts {
		return ctx, func() { cancel(nil) }
	}
	timeout := streamPatience(x.route) / stallShare
	var timer *time.Timer
	// Started only once timer is assigned, since the function uses it.
	timer = time.AfterFunc(math.MaxInt64, func() {
		switch {
		case ctx.Err() != nil:
		case x.prepaySwitch(tried):
			cancel(errStalled)
		default:
			timer.Reset(timeout)
		}
	})
	timer.Reset(timeout)
	x.stall = stallWatch{timer, timeout}
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// prepaySwitch reports whether another server than the tried ones can go on with the request, and pays for the repeat.
func (x *exchange) prepaySwitch(tried map[fleet.BackendID]bool) bool {
	k := x.constraint(tried)
	k.unlimited = true
	if !x.proxy.view.otherServerExists(x.service, &x.req, k) || !x.proxy.view.spendRetry(x.service) {
		return false
	}
	x.switchPaid.Store(true)
	return true
}

// reset begins the time without an event anew.
func (s stallWatch) reset() {
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}

// suspend ends the watch until the next reset, since no other server can go on with the stream.
func (s stallWatch) suspend() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
