package dispatch

import (
	"context"
	"slices"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/poison"
	"toucanway/core/routing"
	"toucanway/io/callers"
	"toucanway/io/engines"
	"toucanway/io/hosts"
)

const (
	// chooseRetryDelay is the delay before a backend server is chosen again after a failed acquire.
	chooseRetryDelay = 20 * time.Millisecond
	// estimateInterval is the interval at which a request that waits for a ready replica checks the planner's estimate again.
	estimateInterval = time.Second
	// firstTokenTimeoutFactor is the multiple of the expected time to first token after which an engine without a token counts as
	// unresponsive.
	firstTokenTimeoutFactor = 5
)

// attempt is one try to serve a request at a backend server.
type attempt struct {
	grant   capacity.Grant
	backend control.Backend
	choice  routing.Choice
	owner   ownerAddress
	alone   bool
	// resume is the number of tokens that the caller has received from earlier attempts.
	resume int
	sentAt time.Time
	stream *engines.Stream
	cancel context.CancelFunc

	tokens         int
	lastTokenAt    time.Time
	reportedTokens int
	reportedAt     time.Time
}

// close closes the stream of an attempt, which must be open, and ends the attempt's context.
func (at *attempt) close() {
	at.stream.Close()
	at.cancel()
}

// markSent records the time of dispatch, from which the first token and the progress are measured.
func (at *attempt) markSent(now time.Time) { at.sentAt, at.lastTokenAt, at.reportedAt = now, now, now }

func (at *attempt) incarnation() fleet.BackendIncarnation {
	return fleet.BackendIncarnation{Backend: at.backend.Announcement.ID, Incarnation: at.backend.Announcement.Incarnation}
}

// search finds a backend server and a slot for one attempt. Searches for the same answer may run concurrently, since they only
// read fields of the answer that never change.
type search struct {
	a *answer
	// alone, resume and preempted are the values of alone, received and preempted in the answer when the search began.
	alone     bool
	resume    int
	preempted int
	// avoid lists the backend servers to leave out: the first fixedAvoided ones run another attempt, the others were tried.
	avoid        []fleet.BackendID
	fixedAvoided int
	// lastRefusal is the last answer of an owner if that was a refusal.
	lastRefusal *fleet.Refusal
	// slotTimeout bounds the wait for a slot; zero means until the deadline of the request.
	slotTimeout time.Duration
}

// findGrant returns an attempt with a grant under which the request may be dispatched now, or a refusal.
func (s *search) findGrant(ctx context.Context) (*attempt, *fleet.Refusal) {
	for {
		c, b, r := s.choose(ctx)
		if r != nil {
			return nil, r
		}
		s.avoid = append(s.avoid, b.Announcement.ID)
		at, r := s.acquire(ctx, c, b)
		if at != nil || r != nil {
			return at, r
		}
	}
}

// choose waits for a ready replica and returns the best one.
func (s *search) choose(ctx context.Context) (routing.Choice, control.Backend, *fleet.Refusal) {
	a := s.a
	for {
		changed := a.d.cfg.Follower.Changed()
		now := time.Now()
		if !s.alone || a.d.policy.replicas(a.call.Target.Model) >= poison.MinReplicas {
			q := a.route
			q.Avoid = s.avoid
			if c, b, ok := a.d.policy.choose(now, &q); ok {
				return c, b, nil
			}
		}
		if r := s.handleAllTried(ctx); r != nil {
			return routing.Choice{}, control.Backend{}, r
		}
		if r := s.refuseIfTooLate(now); r != nil {
			return routing.Choice{}, control.Backend{}, r
		}
		t := time.NewTimer(estimateInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return routing.Choice{}, control.Backend{}, a.timeoutRefusal(s.resume > 0)
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// handleAllTried decides what to do if no replica is left to try. It returns the last owner's refusal unless the refusal is
// temporary: no-capacity, still-running or configuration-stale. Otherwise it waits, and all replicas may be tried again.
func (s *search) handleAllTried(ctx context.Context) *fleet.Refusal {
	if len(s.avoid) == s.fixedAvoided {
		return nil
	}
	if r := s.lastRefusal; r != nil && r.Code != fleet.CodeNoCapacity && r.Code != fleet.CodeStillRunning && r.Code != fleet.CodeConfigurationStale {
		return r
	}
	s.avoid = slices.Clone(s.avoid[:s.fixedAvoided])
	return s.waitBeforeChoice(ctx)
}

// refuseIfTooLate returns a refusal if a replica of the model is not expected to be ready before the deadline of the request.
func (s *search) refuseIfTooLate(now time.Time) *fleet.Refusal {
	a := s.a
	ready, ok := a.d.cfg.Reporter.Estimate(a.call.Target.Model)
	if !ok || s.resume > 0 || now.Add(ready).Before(a.deadline) {
		return nil
	}
	return fleet.Refuse(fleet.CodeDeadlineTooShort, ready, "model %s is expected to be ready in %s, after the deadline; send a longer %s",
		a.call.Target.Model, ready.Round(time.Millisecond), callers.HeaderDeadline)
}

// acquire asks the owner of a backend server for a grant. If it returns neither an attempt nor a refusal, another backend server
// has to be chosen.
func (s *search) acquire(ctx context.Context, c routing.Choice, b control.Backend) (*attempt, *fleet.Refusal) {
	a := s.a
	owner, ok := a.d.ownerOf(b)
	if !ok {
		return nil, s.waitBeforeChoice(ctx)
	}
	sent := time.Now()
	req := s.acquireRequest(b, s.acquireTimeout(sent))
	res, err := a.d.callAcquire(ctx, owner, req)
	now := time.Now()
	if err != nil || res.Status != hosts.StatusOK {
		return nil, s.waitBeforeChoice(ctx)
	}
	a.d.policy.observeOwner(now, b.Announcement.ID, res.Answer.Queue)
	if res.Answer.Refusal != nil {
		s.lastRefusal = res.Answer.Refusal
		return nil, nil
	}
	s.lastRefusal = nil
	at := &attempt{grant: *res.Answer.Grant, backend: b, choice: c, owner: owner, alone: s.alone, resume: s.resume}
	if !now.Before(at.grant.DispatchBefore(sent)) || !a.d.cfg.Follower.HasLease(now) || ctx.Err() != nil {
		a.d.release(at, capacity.OutcomeUnused, 0)
		return nil, s.waitBeforeChoice(ctx)
	}
	return at, nil
}

func (s *search) acquireTimeout(now time.Time) time.Duration {
	switch {
	case s.slotTimeout > 0:
		return s.slotTimeout
	case s.resume > 0:
		// The caller has received part of its answer and expects the next token within tokenTimeout.
		return tokenTimeout
	default:
		return s.a.deadline.Sub(now)
	}
}

// waitBeforeChoice waits before another choice. It returns a refusal if the context ends meanwhile.
func (s *search) waitBeforeChoice(ctx context.Context) *fleet.Refusal {
	if pause.For(ctx, chooseRetryDelay) != nil {
		return s.a.timeoutRefusal(s.resume > 0)
	}
	return nil
}

// send dispatches the request under its grant.
func (a *answer) send(ctx context.Context, at *attempt) error {
	streamCtx, cancel := context.WithCancel(a.ctx)
	at.cancel = cancel
	stop := context.AfterFunc(ctx, cancel)
	a.d.inflight.add(at.incarnation(), a.call.ID, a.fingerprint)
	a.d.policy.beginAttempt(at.sentAt, at.backend.Announcement.ID)
	s, err := a.d.cfg.Engines.Complete(streamCtx, engines.Completion{
		Address: at.backend.Announcement.Address, Request: a.call.ID, Fence: at.grant.Fence,
		Priority: a.call.Identity.Class, ResumeFrom: at.resume, Chat: a.call.Chat, Body: a.body,
		IdleTimeout: max(tokenTimeout, firstTokenTimeoutFactor*at.choice.FirstToken),
	})
	// From now on, the stream ends with the context of the request instead of that of the wait for its first token.
	stop()
	if err != nil {
		cancel()
		return err
	}
	at.stream = s
	a.d.release(at, capacity.OutcomeDispatched, 0)
	return nil
}
