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

// hedgeSlotTimeout bounds the wait of a hedge for a slot, since a hedge that waits in a queue hardly reduces the latency.
const hedgeSlotTimeout = 100 * time.Millisecond

// raceResult is the result of one attempt in a race: its first token, or an error.
type raceResult struct {
	at    *attempt
	token engines.Token
	err   error
}

// race makes one attempt, and a hedge at another backend server if the first attempt has no token after the hedge delay. The
// attempt with the first token wins; the other one is cancelled. The error is a *fleet.Refusal or the failure of the last
// attempt.
func (a *answer) race(ctx context.Context) (engines.Token, *attempt, error) {
	at, r := (&search{a: a, alone: a.alone, resume: a.received, preempted: a.preempted}).findGrant(ctx)
	if r != nil {
		return engines.Token{}, nil, r
	}
	a.attempts++
	at.markSent(time.Now())
	delay, ok := a.d.policy.hedgeDelay(a.call.Target.Model, at)
	if !ok || a.d.cfg.Policies.NoHedging || a.alone || a.received > 0 {
		return a.recordResult(a.sendAndWait(ctx, at))
	}
	if at.choice.Probe {
		delay /= 2
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan raceResult, 2)
	if !a.d.jobs.Run(func(context.Context) { results <- a.sendAndWait(ctx, at) }) {
		return a.recordResult(a.sendAndWait(ctx, at))
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	for {
		select {
		case got := <-results:
			running--
			token, winner, err := a.recordResult(got)
			if err == nil {
				a.cancelLosers(cancel, results, running)
				return token, winner, nil
			}
			if running == 0 {
				return token, winner, err
			}
		case <-timer.C:
			a.observeWaiting(at)
			if running == 1 && a.hedge(ctx, at, results) {
				running++
			}
		}
	}
}

// hedge starts a second attempt if the tenant's retry budget allows it, and reports whether it did.
func (a *answer) hedge(ctx context.Context, first *attempt, results chan<- raceResult) bool {
	if a.d.policy.replicas(a.call.Target.Model) < 2 || !a.d.policy.spend(time.Now(), a.call.Identity.Tenant) {
		return false
	}
	a.d.metrics.hedges.With(string(a.call.Identity.Tenant)).Inc(1)
	avoid := []fleet.BackendID{first.backend.Announcement.ID}
	return a.d.jobs.Run(func(context.Context) {
		s := &search{a: a, resume: first.resume, avoid: avoid, fixedAvoided: 1, slotTimeout: hedgeSlotTimeout}
		slotCtx, cancel := context.WithTimeout(ctx, hedgeSlotTimeout)
		at, r := s.findGrant(slotCtx)
		cancel()
		if r != nil {
			results <- raceResult{err: errNoHedge}
			return
		}
		at.markSent(time.Now())
		results <- a.sendAndWait(ctx, at)
	})
}

// errNoHedge means that a hedge got no slot; the first attempt continues.
var errNoHedge = errors.New("no slot for a hedge")

// sendAndWait sends an attempt and waits for its first token.
func (a *answer) sendAndWait(ctx context.Context, at *attempt) raceResult {
	if err := a.send(ctx, at); err != nil {
		return raceResult{at: at, err: err}
	}
	// The end of the race cancels an attempt that has no token yet.
	stop := context.AfterFunc(ctx, at.cancel)
	token, err := at.stream.Next()
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		err = engines.ErrProtocol.New("engine ended the answer of %s without a token", a.call.ID)
	}
	return raceResult{at: at, token: token, err: err}
}

// recordResult records the result of an attempt: its first token, or its failure.
func (a *answer) recordResult(got raceResult) (engines.Token, *attempt, error) {
	now := time.Now()
	switch {
	case got.at == nil:
		return engines.Token{}, nil, got.err
	case got.err != nil:
		if got.at.stream != nil {
			got.at.close()
		}
		a.handleFailure(now, got.at, got.err)
		return engines.Token{}, nil, got.err
	}
	a.mayHaveRun = true
	got.at.tokens, got.at.lastTokenAt = 1, now
	got.at.reportedTokens, got.at.reportedAt = 1, now
	a.d.policy.observeFirstToken(now, got.at, routing.Progress{
		Backend: got.at.backend.Announcement.ID, Model: a.call.Target.Model, FirstToken: now.Sub(got.at.sentAt), Prompt: a.prompt,
	})
	return got.token, got.at, nil
}

// cancelLosers cancels the attempts that lost the race, and releases their grants in the background once they have ended.
func (a *answer) cancelLosers(cancel context.CancelFunc, results <-chan raceResult, running int) {
	cancel()
	if running == 0 {
		return
	}
	a.d.jobs.Run(func(context.Context) {
		for range running {
			got := <-results
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

// observeWaiting reports to the policy that an attempt has no token yet.
func (a *answer) observeWaiting(at *attempt) {
	now := time.Now()
	a.d.policy.observeProgress(now, routing.Progress{
		Backend: at.backend.Announcement.ID, Model: a.call.Target.Model, FirstToken: now.Sub(at.sentAt), Waiting: true, Prompt: a.prompt,
	})
}
