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
	// probeTimeout bounds the check whether a backend server's process still listens.
	probeTimeout = 500 * time.Millisecond
	// crashTimeout bounds the commit of a crash. The requests that the crash interrupted are retried only after it.
	crashTimeout = 2 * time.Second
	// maxCrashes bounds the crashes that are remembered; beyond it the oldest is dropped.
	maxCrashes = 1024
)

// inflightRequests holds the requests of this host in flight on each incarnation of a backend server. No other lock is taken
// while mu is held.
type inflightRequests struct {
	mu      sync.Mutex
	running map[fleet.BackendIncarnation]map[fleet.RequestID]fleet.Fingerprint
}

func (f *inflightRequests) add(incarnation fleet.BackendIncarnation, id fleet.RequestID, fp fleet.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[fleet.BackendIncarnation]map[fleet.RequestID]fleet.Fingerprint{}
	}
	if f.running[incarnation] == nil {
		f.running[incarnation] = map[fleet.RequestID]fleet.Fingerprint{}
	}
	f.running[incarnation][id] = fp
}

func (f *inflightRequests) remove(incarnation fleet.BackendIncarnation, id fleet.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running[incarnation], id)
	if len(f.running[incarnation]) == 0 {
		delete(f.running, incarnation)
	}
}

func (f *inflightRequests) fingerprints(incarnation fleet.BackendIncarnation) []fleet.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]fleet.Fingerprint, 0, len(f.running[incarnation]))
	for _, fp := range f.running[incarnation] {
		out = append(out, fp)
	}
	return out
}

// crashes remembers the incarnations of backend servers that this host found to have ended, so that each is reported once.
type crashes struct {
	mu    sync.Mutex
	known map[fleet.BackendIncarnation]*crash
	order []fleet.BackendIncarnation
}

// crash is the end of one incarnation of a backend server; reported is closed once the control group has recorded it or the
// report has failed.
type crash struct {
	reported chan struct{}
}

// add returns the crash of an incarnation, and true if this call added it; its caller must then report it.
func (c *crashes) add(incarnation fleet.BackendIncarnation) (*crash, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.known[incarnation]; k != nil {
		return k, false
	}
	if c.known == nil {
		c.known = map[fleet.BackendIncarnation]*crash{}
	}
	k := &crash{reported: make(chan struct{})}
	c.known[incarnation] = k
	c.order = append(c.order, incarnation)
	if len(c.order) > maxCrashes {
		delete(c.known, c.order[0])
		c.order = c.order[1:]
	}
	return k, true
}

// handleFailure releases the grant of a failed attempt with the outcome as far as it is known. If the backend server's process
// has ended, it reports that.
func (a *answer) handleFailure(now time.Time, at *attempt, err error) {
	defer a.finishAttempt(now, at)
	a.crashed = false
	switch {
	case errorx.IsOfType(err, engines.ErrRefused):
		a.d.release(at, capacity.OutcomeUnused, 0)
	case errorx.IsOfType(err, backend.ErrNotSent):
		a.d.release(at, capacity.OutcomeUnused, 0)
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.d.reportDead(at.incarnation())
		}
	case errorx.IsOfType(err, backend.ErrLost) && !a.isExpired(now) && a.d.hasEnded(a.ctx, at):
		a.mayHaveRun, a.crashed = true, true
		a.d.reportCrash(a.ctx, at)
		a.d.release(at, capacity.OutcomeInDoubt, fleet.Tokens(at.tokens))
	default:
		a.mayHaveRun = true
		a.d.cancelAtEngine(at, a.call.ID, capacity.OutcomeDone)
	}
}

// isExpired reports whether the context of the answer has ended, or its deadline has passed before the first token.
func (a *answer) isExpired(now time.Time) bool {
	return a.ctx.Err() != nil || a.received == 0 && !now.Before(a.deadline.Add(-answerMargin))
}

// reportDead removes a backend server whose process has ended. It records no crash, since the request was not sent to it.
func (d *Dispatcher) reportDead(incarnation fleet.BackendIncarnation) {
	k, first := d.crashes.add(incarnation)
	if !first {
		return
	}
	d.jobs.Run(func(ctx context.Context) {
		defer close(k.reported)
		d.removeDead(ctx, incarnation)
	})
}

// removeDead commits the removal of a backend server and waits until this host has applied it.
func (d *Dispatcher) removeDead(ctx context.Context, incarnation fleet.BackendIncarnation) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	res, err := d.cfg.Follower.Propose(ctx, &control.RemoveBackend{Backend: incarnation.Backend, Incarnation: incarnation.Incarnation, Dead: true})
	if err == nil {
		_ = d.cfg.Follower.WaitApplied(ctx, res.Index)
	}
}

// hasEnded reports whether the process of a backend server has ended. It returns false if the server is only unreachable or sends
// invalid answers.
func (d *Dispatcher) hasEnded(ctx context.Context, at *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := d.cfg.Network.Dial(ctx, at.backend.Announcement.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// A listening process counts as running, even one that has restarted meanwhile: its earlier connections are closed in any
	// case, and its next announcement shows the new incarnation.
	c.Close()
	return false
}

// reportCrash commits the requests that ran on a backend server when its process ended, and then the server's removal. It returns
// once both were committed or have failed, so that a retry of these requests takes the suspicion into account.
func (d *Dispatcher) reportCrash(ctx context.Context, at *attempt) {
	k, first := d.crashes.add(at.incarnation())
	if !first {
		select {
		case <-ctx.Done():
		case <-k.reported:
		}
		return
	}
	defer close(k.reported)
	incarnation := at.incarnation()
	fingerprints := d.inflight.fingerprints(incarnation)
	d.policy.suspect(time.Now(), fingerprints)
	d.metrics.crashes.With().Inc(1)
	// If the commit is lost, other hosts do not suspect these requests until the next crash; they report the same crash.
	commitCtx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	_, _ = d.cfg.Follower.Propose(commitCtx, &control.RecordCrash{
		Backend: incarnation.Backend, Incarnation: incarnation.Incarnation, Fingerprints: fingerprints, Alone: at.alone,
	})
	d.removeDead(ctx, incarnation)
}

// prepareRetry waits for the backoff before another attempt. It returns a refusal if the retry budget, the number of attempts or
// the time is used up.
func (a *answer) prepareRetry(ctx context.Context, now time.Time, cause error) *fleet.Refusal {
	a.d.logFailure(a.call.ID, cause)
	if r := a.checkPoison(now); r != nil {
		return r
	}
	if a.ctx.Err() != nil || ctx.Err() != nil {
		return a.withExecution(a.timeoutRefusal(a.received > 0))
	}
	left := a.deadline.Sub(now)
	if a.received > 0 {
		left = a.lastTokenAt.Add(resumeTimeout).Sub(now)
	}
	uncharged := errorx.IsOfType(cause, backend.ErrNotSent) || a.crashed
	wait, ok := a.d.policy.retry(now, a.call.Identity.Tenant, a.attempts, a.doc.Limits.MaxAttempts, left, uncharged)
	if !ok {
		return a.refuse(fleet.CodeBackendFailed, busyRetryAfter,
			"no backend server completed the answer in %d attempts; send the request again, if it may have run only if it may run twice", a.attempts)
	}
	a.d.metrics.retries.With(string(a.call.Identity.Tenant)).Inc(1)
	if pause.For(ctx, wait) != nil {
		return a.withExecution(a.timeoutRefusal(a.received > 0))
	}
	return nil
}

// clearSuspect commits that a request completed, so that it is no longer suspected on any host.
func (d *Dispatcher) clearSuspect(fp fleet.Fingerprint) {
	d.jobs.Run(func(ctx context.Context) {
		// If the commit is lost, the suspicion ends with its expiry.
		_, _ = d.cfg.Follower.Propose(ctx, &control.DeleteCrashRecords{Fingerprints: []fleet.Fingerprint{fp}})
	})
}
