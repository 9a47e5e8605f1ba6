package dispatch

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/io/backend"
	"toucanway/io/engines"
)

const (
	// probeTimeout bounds the question whether a backend server's process still listens.
	probeTimeout = 500 * time.Millisecond
	// crashTimeout bounds the commit of a crash, during which the requests behind it wait to be tried again.
	crashTimeout = 2 * time.Second
	// maxCrashes bounds the remembered crashes; the oldest is forgotten.
	maxCrashes = 1024
)

// inflight holds the requests of this host that run on each life of a backend server. Lock order: mu alone.
type inflight struct {
	mu      sync.Mutex
	running map[control.Life]map[fleet.RequestID]fleet.Fingerprint
}

func (f *inflight) add(l control.Life, id fleet.RequestID, fp fleet.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[control.Life]map[fleet.RequestID]fleet.Fingerprint{}
	}
	if f.running[l] == nil {
		f.running[l] = map[fleet.RequestID]fleet.Fingerprint{}
	}
	f.running[l][id] = fp
}

func (f *inflight) remove(l control.Life, id fleet.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running[l], id)
	if len(f.running[l]) == 0 {
		delete(f.running, l)
	}
}

func (f *inflight) on(l control.Life) []fleet.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]fleet.Fingerprint, 0, len(f.running[l]))
	for _, fp := range f.running[l] {
		out = append(out, fp)
	}
	return out
}

// crashes remembers the lives of backend servers that ended under requests of this host, each reported once.
type crashes struct {
	mu    sync.Mutex
	known map[control.Life]*crash
	order []control.Life
}

// crash is one life that ended; done is closed once it was reported.
type crash struct {
	done chan struct{}
}

// enter returns the crash of a life and whether the caller is the one to report it.
func (c *crashes) enter(l control.Life) (*crash, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.known[l]; k != nil {
		return k, false
	}
	if c.known == nil {
		c.known = map[control.Life]*crash{}
	}
	k := &crash{done: make(chan struct{})}
	c.known[l] = k
	c.order = append(c.order, l)
	if len(c.order) > maxCrashes {
		delete(c.known, c.order[0])
		c.order = c.order[1:]
	}
	return k, true
}

// failed releases the grant of an attempt by what is known of its outcome, and reports the crash of the backend server if
// that is the cause.
func (a *answer) failed(now time.Time, at *attempt, err error) {
	defer a.finishAttempt(now, at)
	a.crashed = false
	switch {
	case errorx.IsOfType(err, engines.ErrRefused):
		a.d.release(at, capacity.OutcomeUnused, 0)
	case errorx.IsOfType(err, backend.ErrNotSent):
		a.d.release(at, capacity.OutcomeUnused, 0)
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.d.reportDead(at.life())
		}
	case errorx.IsOfType(err, backend.ErrLost) && !a.isOver(now) && a.d.isGone(a.ctx, at):
		a.sent, a.crashed = true, true
		a.d.reportCrash(a.ctx, at)
		a.d.release(at, capacity.OutcomeInDoubt, fleet.Tokens(at.tokens))
	default:
		a.sent = true
		a.d.cancelAtEngine(at, a.call.ID, capacity.OutcomeDone)
	}
}

// isOver reports whether nobody waits for the answer any more, or its refusal is due now.
func (a *answer) isOver(now time.Time) bool {
	return a.ctx.Err() != nil || a.received == 0 && !now.Before(a.deadline.Add(-turnaround))
}

// reportDead removes a backend server whose process ended without a request of this host.
func (d *Dispatcher) reportDead(l control.Life) {
	k, first := d.crashes.enter(l)
	if !first {
		return
	}
	d.jobs.Run(func(ctx context.Context) {
		defer close(k.done)
		d.removeDead(ctx, l)
	})
}

// removeDead commits the removal of a backend server and waits until this host knows of it.
func (d *Dispatcher) removeDead(ctx context.Context, l control.Life) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	res, err := d.cfg.Follower.Propose(ctx, &control.RemoveBackend{Backend: l.Backend, Incarnation: l.Incarnation, Dead: true})
	if err == nil {
		_ = d.cfg.Follower.WaitApplied(ctx, res.Index)
	}
}

// isGone tells a backend server whose process ended from one that cannot be reached or answers badly.
func (d *Dispatcher) isGone(ctx context.Context, at *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := d.cfg.Network.Dial(ctx, at.backend.Announcement.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// A process that restarted within the probe listens again; its connections of before are gone all the same, and the
	// next announcement tells. A listening process counts as running.
	c.Close()
	return false
}

// reportCrash commits the requests that ran on a backend server when its process ended, and its removal. It returns once
// the commit was tried, so that a retry of these requests knows who is suspected.
func (d *Dispatcher) reportCrash(ctx context.Context, at *attempt) {
	k, first := d.crashes.enter(at.life())
	if !first {
		select {
		case <-ctx.Done():
		case <-k.done:
		}
		return
	}
	defer close(k.done)
	life := at.life()
	fps := d.inflight.on(life)
	d.policy.suspect(time.Now(), fps)
	d.metrics.crashes.With().Inc(1)
	// A lost commit leaves the requests unsuspected until the next crash; other hosts report the same crash.
	commit, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	_, _ = d.cfg.Follower.Propose(commit, &control.RecordCrash{
		Backend: life.Backend, Incarnation: life.Incarnation, Fingerprints: fps, Alone: at.alone,
	})
	d.removeDead(ctx, life)
}

// mayRetry pauses before another attempt, or refuses when the budget, the attempts or the time are used up.
func (a *answer) mayRetry(ctx context.Context, now time.Time, cause error) *fleet.Refusal {
	if r := a.checkPoison(now); r != nil {
		return r
	}
	if a.ctx.Err() != nil || ctx.Err() != nil {
		return a.truthful(a.timedOut(a.received > 0))
	}
	left := a.deadline.Sub(now)
	if a.received > 0 {
		left = a.lastToken.Add(resumeLimit).Sub(now)
	}
	free := errorx.IsOfType(cause, backend.ErrNotSent) || a.crashed
	wait, ok := a.d.policy.retry(now, a.call.Identity.Tenant, a.attempts, a.doc.Limits.MaxAttempts, left, free)
	if !ok {
		return a.refuse(fleet.CodeBackendFailed, busyRetry, "no backend server gave the whole answer in %d attempts: %v", a.attempts, cause)
	}
	a.d.metrics.retries.With(string(a.call.Identity.Tenant)).Inc(1)
	if pause.For(ctx, wait) != nil {
		return a.truthful(a.timedOut(a.received > 0))
	}
	return nil
}

// clearSuspect commits that a request completed, so that it is no longer suspected on any host.
func (d *Dispatcher) clearSuspect(fp fleet.Fingerprint) {
	d.jobs.Run(func(ctx context.Context) {
		// A lost commit leaves the suspicion to its expiry.
		_, _ = d.cfg.Follower.Propose(ctx, &control.ClearSuspects{Fingerprints: []fleet.Fingerprint{fp}})
	})
}
