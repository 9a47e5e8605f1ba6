package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/fleet"
	"toucanway/core/routing"
	"toucanway/io/engines"
)

// hedgePatience bounds the wait of a hedge for a slot: one that has to queue relieves nobody.
const hedgePatience = 100 * time.Millisecond

// arrival is the end of one entrant's wait for its first token.
type arrival struct {
	at    *attempt
	token engines.Token
	err   error
}

// race makes one attempt, and a second one on another backend server when the first has no token for longer than most
// requests of its model. The first token decides; the other attempt is cancelled. The error is a *fleet.Refusal, or
// what broke the last attempt.
func (a *answer) race(ctx context.Context) (engines.Token, *attempt, error) {
	at, r := (&search{a: a, alone: a.alone, resume: a.received, preempted: a.preempted}).grant(ctx)
	if r != nil {
		return engines.Token{}, nil, r
	}
	a.attempts++
	at.start(time.Now())
	after, ok := a.d.policy.hedgeAfter(a.call.Target.Model, at)
	if !ok || a.d.cfg.Policies.NoHedging || a.alone || a.received > 0 {
		return a.settle(a.enter(ctx, at))
	}
	if at.choice.Probe {
		after /= 2
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arrivals := make(chan arrival, 2)
	if !a.d.jobs.Run(func(context.Context) { arrivals <- a.enter(ctx, at) }) {
		return a.settle(a.enter(ctx, at))
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	running := 1
	for {
		select {
		case got := <-arrivals:
			running--
			token, winner, err := a.settle(got)
			if err == nil {
				a.stopOthers(cancel, arrivals, running)
				return token, winner, nil
			}
			if running == 0 {
				return token, winner, err
			}
		case <-timer.C:
			a.observeWaiting(at)
			if running == 1 && a.hedge(ctx, at, arrivals) {
				running++
			}
		}
	}
}

// hedge starts a second attempt if the tenant's budget allows it.
func (a *answer) hedge(ctx context.Context, first *attempt, arrivals chan<- arrival) bool {
	if a.d.policy.replicas(a.call.Target.Model) < 2 || !a.d.policy.spend(time.Now(), a.call.Identity.Tenant) {
		return false
	}
	a.d.metrics.hedges.With(string(a.call.Identity.Tenant)).Inc(1)
	avoid := []fleet.BackendID{first.backend.Announcement.ID}
	return a.d.jobs.Run(func(context.Context) {
		s := &search{a: a, resume: first.resume, avoid: avoid, fixed: 1, patience: hedgePatience}
		wait, cancel := context.WithTimeout(ctx, hedgePatience)
		at, r := s.grant(wait)
		cancel()
		if r != nil {
			arrivals <- arrival{err: errNoHedge}
			return
		}
		at.start(time.Now())
		arrivals <- a.enter(ctx, at)
	})
}

// errNoHedge says that a hedge found no slot; the first attempt goes on.
var errNoHedge = errors.New("no slot for a second attempt")

// enter sends an attempt and waits for its first token.
func (a *answer) enter(ctx context.Context, at *attempt) arrival {
	if err := a.send(ctx, at); err != nil {
		return arrival{at: at, err: err}
	}
	// The end of the race closes the connection of an attempt that has no token yet.
	stop := context.AfterFunc(ctx, at.cancel)
	token, err := at.stream.Next()
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		err = engines.ErrProtocol.New("engine ended the answer of %s without a token", a.call.ID)
	}
	return arrival{at: at, token: token, err: err}
}

// settle takes over the result of an attempt: its first token, or its end.
func (a *answer) settle(got arrival) (engines.Token, *attempt, error) {
	now := time.Now()
	switch {
	case got.at == nil:
		return engines.Token{}, nil, got.err
	case got.err != nil:
		if got.at.stream != nil {
			got.at.close()
		}
		a.failed(now, got.at, got.err)
		return engines.Token{}, nil, got.err
	}
	a.sent = true
	got.at.tokens, got.at.last = 1, now
	got.at.reported, got.at.reportedAt = 1, now
	a.d.policy.firstToken(now, got.at, routing.Progress{
		Backend: got.at.backend.Announcement.ID, Model: a.call.Target.Model, FirstToken: now.Sub(got.at.sent), Prompt: a.prompt,
	})
	return got.token, got.at, nil
}

// stopOthers cancels the attempts that lost, and waits for their end to release their grants.
func (a *answer) stopOthers(cancel context.CancelFunc, arrivals <-chan arrival, running int) {
	cancel()
	if running == 0 {
		return
	}
	a.d.jobs.Run(func(context.Context) {
		for range running {
			got := <-arrivals
			if got.at == nil {
				continue
			}
			if got.at.stream != nil {
				got.at.close()
			}
			a.finishAttempt(time.Now(), got.at)
			a.d.cancelAtEngine(got.at, a.call.ID, capacity.OutcomeDone)
		}
	})
}

// observeWaiting tells the policy that an attempt has no token yet.
func (a *answer) observeWaiting(at *attempt) {
	now := time.Now()
	a.d.policy.progress(now, routing.Progress{
		Backend: at.backend.Announcement.ID, Model: a.call.Target.Model, FirstToken: now.Sub(at.sent), Waiting: true, Prompt: a.prompt,
	})
}
