package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/callers"
	"toucanway/io/engines"
	"toucanway/io/hosts"
	"toucanway/io/planning"
)

const (
	// tokenSilence is the longest time between two tokens before an engine counts as mute.
	tokenSilence = 10 * time.Second
	// busyRetry is when a request refused for lack of capacity may be tried again.
	busyRetry = time.Second
	// turnaround is kept of the deadline for the answer's way back to the caller.
	turnaround = 20 * time.Millisecond
)

// Complete admits a completion, waits for a replica and a slot, and returns the answer once its first token is there.
func (d *Dispatcher) Complete(ctx context.Context, c *callers.Completion) (callers.Answer, *fleet.Refusal) {
	started := time.Now()
	a, r := d.begin(ctx, c, started)
	if r == nil {
		if r = a.first(); r != nil {
			a.Close()
		}
	}
	d.metrics.outcome(c.Identity, r, time.Since(started))
	if r != nil {
		return nil, r
	}
	return a, nil
}

// begin checks a request and enters it as waiting.
func (d *Dispatcher) begin(ctx context.Context, c *callers.Completion, now time.Time) (*answer, *fleet.Refusal) {
	doc, r := d.admit()
	if r != nil {
		return nil, r
	}
	model, ok := doc.Model(c.Target.Model)
	if !ok || !doc.HasTarget(c.Target) {
		return nil, fleet.Refuse(fleet.CodeUnknownModel, 0, "no model %s is declared; GET /v1/models lists all", c.Target)
	}
	body, err := engineBody(c)
	if err != nil {
		return nil, fleet.Refuse(fleet.CodeBadRequest, 0, "the body cannot be passed on: %v", err)
	}
	a := &answer{
		d: d, call: c, doc: doc, model: model, body: body,
		deadline:    now.Add(deadlineOf(doc, c.Deadline)),
		fingerprint: d.fingerprint(c),
		prompt:      c.PromptTokens(),
	}
	if r := a.checkPoison(now); r != nil {
		return nil, r
	}
	a.predict(now)
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.finish = d.requests.begin()
	d.budget.Request(now, c.Identity.Tenant)
	a.waiter = d.cfg.Reporter.Wait(c.Target, c.Identity.Class, a.deadline, !d.hasReplica(c.Target.Model))
	return a, nil
}

// engineBody returns the caller's request with streaming switched on, which engines need for resumption.
func engineBody(c *callers.Completion) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// answer is the stream of one completion over all its attempts; it implements callers.Answer. It is used by one
// goroutine at a time.
type answer struct {
	d           *Dispatcher
	call        *callers.Completion
	doc         *config.Document
	model       *config.Model
	body        []byte
	deadline    time.Time
	fingerprint fleet.Fingerprint
	prompt      fleet.Tokens
	// expected is the predicted output, long whether it counts as long work.
	expected fleet.Tokens
	long     bool

	ctx    context.Context
	cancel context.CancelFunc
	finish func()
	waiter *planning.Waiter

	attempts int
	// sent says that some attempt reached an engine.
	sent    bool
	current *attempt
	// received counts the tokens passed on or held in ready.
	received int
	ready    *callers.Chunk
	ended    bool
	// rejected is the last owner's refusal since a grant.
	rejected *fleet.Refusal
	// alone says that the request is suspected of crashing backend servers.
	alone bool
}

// attempt is one dispatch to one backend server.
type attempt struct {
	grant   capacity.Grant
	backend control.Backend
	owner   ownerAddress
	stream  *engines.Stream
	cancel  context.CancelFunc
	began   time.Time
	alone   bool
	last    time.Time
	tokens  int
}

// first makes the first attempt and reads its first token.
func (a *answer) first() *fleet.Refusal {
	ctx, cancel := context.WithDeadline(a.ctx, a.deadline.Add(-turnaround))
	defer cancel()
	chunk, r := a.advance(ctx)
	if r != nil {
		return r
	}
	a.ready = chunk
	return nil
}

// Next returns the next chunk, io.EOF after the last one, or a *fleet.Refusal.
func (a *answer) Next(ctx context.Context) (callers.Chunk, error) {
	if a.ready != nil {
		c := *a.ready
		a.ready = nil
		a.ended = c.Finish != "" || a.ended
		return c, nil
	}
	if a.ended {
		return callers.Chunk{}, io.EOF
	}
	chunk, r := a.advance(ctx)
	if r != nil {
		return callers.Chunk{}, r
	}
	if chunk == nil {
		return callers.Chunk{}, io.EOF
	}
	return *chunk, nil
}

// advance reads the next token, making further attempts as long as the budget allows.
func (a *answer) advance(ctx context.Context) (*callers.Chunk, *fleet.Refusal) {
	for {
		if a.current == nil {
			if r := a.attempt(ctx); r != nil {
				return nil, r
			}
		}
		t, err := a.current.stream.Next()
		now := time.Now()
		switch {
		case err == nil:
			a.observeToken(now)
			return a.chunk(t), nil
		case errors.Is(err, io.EOF):
			a.complete(now)
			return nil, nil
		}
		at := a.current
		a.current = nil
		a.waiter.Again()
		a.leave(at)
		a.failed(now, at, err)
		if r := a.mayRetry(ctx, now, err); r != nil {
			return nil, r
		}
	}
}

func (a *answer) chunk(t engines.Token) *callers.Chunk {
	a.received = a.current.stream.Received()
	c := &callers.Chunk{Text: t.Text, Finish: t.Finish}
	if t.Usage != nil {
		c.Usage = &callers.Usage{
			PromptTokens: t.Usage.Prompt, CompletionTokens: t.Usage.Completion,
			TotalTokens: t.Usage.Prompt + t.Usage.Completion,
		}
		a.d.observeCache(a, t.Usage.Cached)
	}
	return c
}

// attempt finds a replica, gets a slot and dispatches the request.
func (a *answer) attempt(ctx context.Context) *fleet.Refusal {
	tried := map[fleet.BackendID]bool{}
	for {
		b, r := a.choose(ctx, tried)
		if r != nil {
			return r
		}
		tried[b.Announcement.ID] = true
		at, again, r := a.acquire(ctx, b)
		if r != nil {
			return r
		}
		if again {
			continue
		}
		a.attempts++
		err := a.send(ctx, at)
		if err == nil {
			a.current = at
			a.waiter.Run()
			return nil
		}
		now := time.Now()
		a.failed(now, at, err)
		if r := a.mayRetry(ctx, now, err); r != nil {
			return r
		}
	}
}

// choose waits for a ready replica and returns the best one.
func (a *answer) choose(ctx context.Context, tried map[fleet.BackendID]bool) (control.Backend, *fleet.Refusal) {
	for {
		changed := a.d.cfg.Follower.Changed()
		now := time.Now()
		if b, ok := a.d.router.choose(now, a, tried); ok {
			return b, nil
		}
		if a.rejected != nil && a.rejected.Code != fleet.CodeNoCapacity && a.rejected.Code != fleet.CodeStillRunning {
			// Every replica's owner refused, and for a reason that waiting here does not change.
			return control.Backend{}, a.rejected
		}
		// Backend servers that failed before may serve again; a retry is bounded by the budget, not by their number.
		if len(tried) > 0 {
			clear(tried)
			if !sleep(ctx, choosePause) {
				return control.Backend{}, a.timedOut(ctx)
			}
			continue
		}
		if r := a.hopeless(now); r != nil {
			return control.Backend{}, r
		}
		t := time.NewTimer(chooseInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return control.Backend{}, a.timedOut(ctx)
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

const (
	choosePause = 20 * time.Millisecond
	// chooseInterval is how often a waiting request checks the planner's estimate again.
	chooseInterval = time.Second
)

// hopeless refuses at once a request whose model cannot be ready before its deadline.
func (a *answer) hopeless(now time.Time) *fleet.Refusal {
	ready, ok := a.d.cfg.Reporter.Estimate(a.call.Target.Model)
	if !ok || now.Add(ready).Before(a.deadline) {
		return nil
	}
	return a.refuse(fleet.CodeDeadlineTooShort, ready, "model %s is expected to be ready in %s, after the deadline; send a longer %s",
		a.call.Target.Model, ready.Round(time.Millisecond), callers.HeaderDeadline)
}

// refuse returns a refusal that tells truthfully whether the request may have run.
func (a *answer) refuse(code fleet.Code, retryAfter time.Duration, format string, args ...any) *fleet.Refusal {
	r := fleet.Refuse(code, retryAfter, format, args...)
	if a.sent {
		r.Execution = fleet.MayHaveRun
	}
	return r
}

func (a *answer) timedOut(ctx context.Context) *fleet.Refusal {
	if a.ctx.Err() != nil && ctx.Err() != context.DeadlineExceeded {
		return a.refuse(fleet.CodeDeadlineExceeded, busyRetry, "the caller went away")
	}
	return a.refuse(fleet.CodeDeadlineExceeded, busyRetry, "no slot of model %s came free before the deadline; send the request again", a.call.Target)
}

// acquire gets a grant from the owner of a backend server. again asks for another choice.
func (a *answer) acquire(ctx context.Context, b control.Backend) (at *attempt, again bool, _ *fleet.Refusal) {
	sent := time.Now()
	left := a.deadline.Sub(sent)
	if a.received > 0 {
		// The caller has the beginning of its answer; the rest is due within the silence it bears.
		left = tokenSilence
	}
	owner, ok := a.d.ownerOf(b)
	if !ok {
		return a.chooseAgain(ctx)
	}
	req := a.acquireRequest(b, left)
	res, err := a.d.callAcquire(ctx, owner, req)
	now := time.Now()
	switch {
	case err != nil, res.Status != hosts.StatusOK:
		return a.chooseAgain(ctx)
	}
	a.d.router.queue(now, b.Announcement.ID, res.Answer.Queue)
	if r := res.Answer.Refusal; r != nil {
		a.rejected = a.refuse(r.Code, r.RetryAfter, "%s", r.Message)
		return nil, true, nil
	}
	a.rejected = nil
	g := *res.Answer.Grant
	at = &attempt{grant: g, backend: b, owner: owner, began: sent, alone: req.Alone}
	if !now.Before(g.DispatchBefore(sent)) || !a.d.cfg.Follower.HasLease(now) {
		a.d.release(at, capacity.OutcomeUnused, 0)
		return nil, true, nil
	}
	return at, false, nil
}

// chooseAgain pauses before another choice, and refuses when the time of the request is over.
func (a *answer) chooseAgain(ctx context.Context) (*attempt, bool, *fleet.Refusal) {
	if !sleep(ctx, choosePause) {
		return nil, false, a.timedOut(ctx)
	}
	return nil, true, nil
}

// send dispatches the request under its grant.
func (a *answer) send(ctx context.Context, at *attempt) error {
	streamCtx, cancel := context.WithCancel(a.ctx)
	stop := context.AfterFunc(ctx, cancel)
	at.cancel = cancel
	a.d.inflight.add(at.life(), a.call.ID, a.fingerprint)
	s, err := a.d.cfg.Engines.Complete(streamCtx, engines.Completion{
		Address: at.backend.Announcement.Address, Request: a.call.ID, Fence: at.grant.Fence,
		Priority: a.call.Identity.Class, ResumeFrom: a.received, Chat: a.call.Chat, Body: a.body,
		Silence: max(tokenSilence, time.Until(a.deadline)),
	})
	if err == nil {
		// From here on the stream ends with the request, not with the wait for its first token.
		stop()
		at.stream = s
		a.d.release(at, capacity.OutcomeDispatched, 0)
		return nil
	}
	stop()
	cancel()
	return err
}

func (at *attempt) life() control.Life {
	return control.Life{Backend: at.backend.Announcement.ID, Incarnation: at.backend.Announcement.Incarnation}
}

// Close ends the work behind the answer, wherever it is.
func (a *answer) Close() {
	if at := a.current; at != nil {
		a.current = nil
		a.leave(at)
		a.d.inflight.remove(at.life(), a.call.ID)
		a.d.cancelAtEngine(at, a.call.ID)
	}
	if a.waiter != nil {
		a.waiter.Done()
		a.waiter = nil
	}
	a.cancel()
	a.finish()
}

// leave ends this host's part in an attempt whose stream was open.
func (a *answer) leave(at *attempt) {
	at.stream.Close()
	at.cancel()
}
