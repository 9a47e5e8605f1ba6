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
	choosePause = 20 * time.Millisecond
	// chooseInterval is how often a waiting request checks the planner's estimate again.
	chooseInterval = time.Second
	// overdueFactor is the multiple of the expected time after which an engine without a first token counts as mute.
	overdueFactor = 5
)

// attempt is one dispatch to one backend server.
type attempt struct {
	grant   capacity.Grant
	backend control.Backend
	choice  routing.Choice
	owner   ownerAddress
	alone   bool
	// resume is the number of tokens that the caller has.
	resume int
	sent   time.Time
	stream *engines.Stream
	cancel context.CancelFunc

	tokens     int
	last       time.Time
	reported   int
	reportedAt time.Time
}

// close ends the connection of an attempt whose stream was open.
func (at *attempt) close() {
	at.stream.Close()
	at.cancel()
}

// start sets the time of dispatch.
func (at *attempt) start(now time.Time) { at.sent, at.last, at.reportedAt = now, now, now }

func (at *attempt) life() control.Life {
	return control.Life{Backend: at.backend.Announcement.ID, Incarnation: at.backend.Announcement.Incarnation}
}

// search looks for a backend server and a slot for one attempt. Several may run at once for one answer, of which they read
// only what never changes.
type search struct {
	a *answer
	// alone, resume and preempted are the state of the answer when the search began.
	alone     bool
	resume    int
	preempted int
	// avoid holds the backend servers that were tried, first those that another attempt runs on.
	avoid []fleet.BackendID
	fixed int
	// rejected is the last owner's refusal.
	rejected *fleet.Refusal
	// patience bounds the wait for a slot; zero means the deadline of the request.
	patience time.Duration
}

// grant returns an attempt with a grant that may be dispatched now. The error is a *fleet.Refusal.
func (s *search) grant(ctx context.Context) (*attempt, *fleet.Refusal) {
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
		if r := s.exhausted(ctx); r != nil {
			return routing.Choice{}, control.Backend{}, r
		}
		if r := s.hopeless(now); r != nil {
			return routing.Choice{}, control.Backend{}, r
		}
		t := time.NewTimer(chooseInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return routing.Choice{}, control.Backend{}, a.timedOut(s.resume > 0)
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// exhausted decides what to do once every replica was tried: owners that refused for lack of capacity refuse the request,
// others may serve it when they are asked again.
func (s *search) exhausted(ctx context.Context) *fleet.Refusal {
	if len(s.avoid) == s.fixed {
		return nil
	}
	if r := s.rejected; r != nil && r.Code != fleet.CodeNoCapacity && r.Code != fleet.CodeStillRunning && r.Code != fleet.CodeConfigurationStale {
		return r
	}
	s.avoid = slices.Clone(s.avoid[:s.fixed])
	return s.pause(ctx)
}

// hopeless refuses at once a request whose model cannot be ready before its deadline.
func (s *search) hopeless(now time.Time) *fleet.Refusal {
	a := s.a
	ready, ok := a.d.cfg.Reporter.Estimate(a.call.Target.Model)
	if !ok || s.resume > 0 || now.Add(ready).Before(a.deadline) {
		return nil
	}
	return fleet.Refuse(fleet.CodeDeadlineTooShort, ready, "model %s is expected to be ready in %s, after the deadline; send a longer %s",
		a.call.Target.Model, ready.Round(time.Millisecond), callers.HeaderDeadline)
}

// acquire asks the owner of a backend server for a grant; without one and without refusal another choice is to be made.
func (s *search) acquire(ctx context.Context, c routing.Choice, b control.Backend) (*attempt, *fleet.Refusal) {
	a := s.a
	owner, ok := a.d.ownerOf(b)
	if !ok {
		return nil, s.pause(ctx)
	}
	sent := time.Now()
	req := s.acquireRequest(b, s.patienceFrom(sent))
	res, err := a.d.callAcquire(ctx, owner, req)
	now := time.Now()
	if err != nil || res.Status != hosts.StatusOK {
		return nil, s.pause(ctx)
	}
	a.d.policy.owner(now, b.Announcement.ID, res.Answer.Queue)
	if res.Answer.Refusal != nil {
		s.rejected = res.Answer.Refusal
		return nil, nil
	}
	s.rejected = nil
	at := &attempt{grant: *res.Answer.Grant, backend: b, choice: c, owner: owner, alone: s.alone, resume: s.resume}
	if !now.Before(at.grant.DispatchBefore(sent)) || !a.d.cfg.Follower.HasLease(now) || ctx.Err() != nil {
		a.d.release(at, capacity.OutcomeUnused, 0)
		return nil, s.pause(ctx)
	}
	return at, nil
}

func (s *search) patienceFrom(now time.Time) time.Duration {
	switch {
	case s.patience > 0:
		return s.patience
	case s.resume > 0:
		// The caller has the beginning of its answer; the rest is due within the silence it bears.
		return tokenSilence
	default:
		return s.a.deadline.Sub(now)
	}
}

// pause waits before another choice, and refuses when the time of the request is over.
func (s *search) pause(ctx context.Context) *fleet.Refusal {
	if pause.For(ctx, choosePause) != nil {
		return s.a.timedOut(s.resume > 0)
	}
	return nil
}

// send dispatches the request under its grant.
func (a *answer) send(ctx context.Context, at *attempt) error {
	streamCtx, cancel := context.WithCancel(a.ctx)
	at.cancel = cancel
	stop := context.AfterFunc(ctx, cancel)
	a.d.inflight.add(at.life(), a.call.ID, a.fingerprint)
	a.d.policy.begin(at.sent, at.backend.Announcement.ID)
	s, err := a.d.cfg.Engines.Complete(streamCtx, engines.Completion{
		Address: at.backend.Announcement.Address, Request: a.call.ID, Fence: at.grant.Fence,
		Priority: a.call.Identity.Class, ResumeFrom: at.resume, Chat: a.call.Chat, Body: a.body,
		Silence: max(tokenSilence, overdueFactor*at.choice.FirstToken),
	})
	// From here on the stream ends with the request, not with the wait for its first token.
	stop()
	if err != nil {
		cancel()
		return err
	}
	at.stream = s
	a.d.release(at, capacity.OutcomeDispatched, 0)
	return nil
}
