package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/core/length"
	"toucanway/core/poison"
	"toucanway/core/routing"
	"toucanway/io/callers"
	"toucanway/io/engines"
	"toucanway/io/planning"
)

const (
	// tokenSilence is the longest time between two tokens before an engine counts as mute.
	tokenSilence = 10 * time.Second
	// resumeLimit is the longest silence in a streamed answer while its continuation is searched, less than the usual
	// idle time-out of callers.
	resumeLimit = 8 * time.Second
	// busyRetry is when a request refused for lack of capacity may be tried again.
	busyRetry = time.Second
	// turnaround is kept of the deadline for the answer's way back to the caller.
	turnaround = 20 * time.Millisecond
	// progressTokens is the number of tokens between two observations of an engine's speed.
	progressTokens = 16
	// eventBytes is the usual size of one token's event on the network.
	eventBytes = 256
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
		deadline: now.Add(deadlineOf(doc, c.Deadline)), fingerprint: fingerprintOf(c), prompt: c.PromptTokens(),
	}
	a.features = length.Request{
		Caller: c.Identity.Caller, Class: c.Identity.Class, Model: c.Target.Model, Prompt: a.prompt, Limit: c.MaxTokens,
	}
	a.predicted = d.policy.predict(a.features)
	a.route = routing.Request{
		Target: c.Target, Tenant: c.Identity.Tenant, Prompt: a.prompt, Prefixes: engines.Prefixes(c.Target, c.Prompt),
		Bytes: a.traffic(int(a.predicted.Mean)),
	}
	if !d.policy.admit(now, c.Identity.Tenant, a.fingerprint, c.Target.Model) {
		return nil, fleet.Refuse(fleet.CodeQueueFull, busyRetry, "too many requests are sent again; wait for the given time before the next attempt")
	}
	if c.Stream {
		a.ctx, a.cancel = context.WithCancel(ctx)
	} else {
		// An answer that is not streamed begins when it is whole, so the deadline holds for all of it.
		a.ctx, a.cancel = context.WithDeadline(ctx, a.deadline.Add(-turnaround))
	}
	a.finish = d.requests.begin()
	a.waiter = d.cfg.Reporter.Wait(c.Target, c.Identity.Class, a.deadline, d.policy.replicas(c.Target.Model) == 0)
	if r := a.checkPoison(now); r != nil {
		a.Close()
		return nil, r
	}
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
	// prompt is the estimated length of the prompt.
	prompt    fleet.Tokens
	features  length.Request
	predicted length.Prediction
	route     routing.Request

	ctx    context.Context
	cancel context.CancelFunc
	finish func()
	waiter *planning.Waiter

	attempts int
	// sent says that some attempt reached an engine.
	sent bool
	// alone says that the request is suspected of crashing backend servers.
	alone    bool
	outgrown bool
	// preempted counts the attempts that gave way to short work.
	preempted int
	// crashed says that the last attempt ended with its backend server.
	crashed bool
	current *attempt
	// received counts the tokens passed on or held in ready.
	received int
	// lastToken is when the last of them came.
	lastToken time.Time
	ready     *callers.Chunk
	ended     bool
}

// traffic estimates the bytes between this host and an engine for a number of output tokens.
func (a *answer) traffic(tokens int) fleet.Bytes {
	return fleet.Bytes(len(a.call.Body)) + fleet.Bytes(tokens)*eventBytes
}

// first makes attempts until one has its first token.
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
			t, at, err := a.raceInTime(ctx)
			var r *fleet.Refusal
			switch {
			case err == nil:
				a.current = at
				a.waiter.Run()
				a.d.running.add(a.call.ID, at)
				return a.chunk(t), nil
			case errors.As(err, &r):
				return nil, a.truthful(r)
			}
			if r := a.mayRetry(ctx, time.Now(), err); r != nil {
				return nil, r
			}
			continue
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
		at.close()
		if a.d.running.wasPreempted(a.call.ID) && a.ctx.Err() == nil {
			a.preempted++
			a.finishAttempt(now, at)
			a.d.cancelAtEngine(at, a.call.ID, capacity.OutcomePreempted)
			continue
		}
		a.failed(now, at, err)
		if r := a.mayRetry(ctx, now, err); r != nil {
			return nil, r
		}
	}
}

// raceInTime bounds the search for a continuation, so that a caller with the beginning of its answer is told of the end
// before it takes the silence for a lost connection.
func (a *answer) raceInTime(ctx context.Context) (engines.Token, *attempt, error) {
	if a.received == 0 {
		return a.race(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, a.lastToken.Add(resumeLimit))
	defer cancel()
	return a.race(ctx)
}

// chunk turns a token of the present attempt into a chunk for the caller.
func (a *answer) chunk(t engines.Token) *callers.Chunk {
	a.received = a.current.stream.Received()
	a.lastToken = a.current.last
	c := &callers.Chunk{Text: t.Text, Finish: t.Finish}
	if t.Usage != nil {
		c.Usage = &callers.Usage{
			PromptTokens: t.Usage.Prompt, CompletionTokens: t.Usage.Completion,
			TotalTokens: t.Usage.Prompt + t.Usage.Completion,
		}
		a.d.policy.answered(time.Now(), a.current, &a.route, t.Usage.Cached)
	}
	return c
}

// refuse returns a refusal that tells truthfully whether the request may have run.
func (a *answer) refuse(code fleet.Code, retryAfter time.Duration, format string, args ...any) *fleet.Refusal {
	return a.truthful(fleet.Refuse(code, retryAfter, format, args...))
}

func (a *answer) truthful(r *fleet.Refusal) *fleet.Refusal {
	if a.sent && r.Execution == fleet.NotRun {
		out := *r
		out.Execution = fleet.MayHaveRun
		return &out
	}
	return r
}

// timedOut is the refusal of a request whose time is over; resumed says that the caller has the beginning of its answer.
func (a *answer) timedOut(resumed bool) *fleet.Refusal {
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled):
		return fleet.Refuse(fleet.CodeDeadlineExceeded, busyRetry, "the caller went away")
	case a.ctx.Err() != nil:
		return fleet.Refuse(fleet.CodeDeadlineExceeded, busyRetry,
			"the answer of model %s was not whole before the deadline; ask for a stream or allow more time", a.call.Target)
	case resumed:
		return fleet.Refuse(fleet.CodeBackendFailed, busyRetry,
			"the answer of model %s broke off and could not be continued in %s; send the request again", a.call.Target, resumeLimit)
	default:
		return fleet.Refuse(fleet.CodeDeadlineExceeded, busyRetry,
			"no slot of model %s came free before the deadline; send the request again", a.call.Target)
	}
}

// checkPoison refuses a request that crashed backend servers before, and has a suspect run alone.
func (a *answer) checkPoison(now time.Time) *fleet.Refusal {
	switch dec := a.d.policy.decide(now, a.fingerprint, a.call.Target.Model).(type) {
	case poison.Run:
		a.alone = false
	case poison.RunAlone, poison.Wait:
		a.alone = true
		a.waiter.Alone()
	case poison.Refuse:
		return a.truthful(dec.Refusal)
	default:
		panic("dispatch: poison decision without a handler")
	}
	return nil
}

// observeToken takes note of one token of the present attempt.
func (a *answer) observeToken(now time.Time) {
	at := a.current
	a.d.metrics.tokenGap.With(a.call.Identity.Class.String()).Update(int64(now.Sub(at.last)))
	at.tokens++
	at.last = now
	if at.tokens%progressTokens != 0 {
		return
	}
	a.reportProgress(now, at)
	if !a.outgrown && a.d.policy.outgrown(a.predicted, fleet.Tokens(a.received)) {
		a.outgrown = true
		a.d.release(at, capacity.OutcomeOutgrown, 0)
	}
}

func (a *answer) reportProgress(now time.Time, at *attempt) {
	if n := at.tokens - at.reported; n > 0 {
		a.d.policy.progress(now, routing.Progress{
			Backend: at.backend.Announcement.ID, Model: a.call.Target.Model,
			Tokens: fleet.Tokens(n), Elapsed: now.Sub(at.reportedAt),
		})
		at.reported, at.reportedAt = at.tokens, now
	}
}

// complete ends the present attempt after the whole answer.
func (a *answer) complete(now time.Time) {
	at := a.current
	a.current = nil
	a.ended = true
	at.close()
	a.reportProgress(now, at)
	a.finishAttempt(now, at)
	a.d.release(at, capacity.OutcomeDone, a.prompt+fleet.Tokens(a.received))
	a.d.policy.whole(a.features, a.fingerprint, fleet.Tokens(a.received))
	if a.d.policy.completed(a.fingerprint) {
		a.d.clearSuspect(a.fingerprint)
	}
}

// finishAttempt ends the account of an attempt that reached its engine.
func (a *answer) finishAttempt(now time.Time, at *attempt) {
	a.d.running.remove(a.call.ID, at)
	a.d.inflight.remove(at.life(), a.call.ID)
	tenant, traffic := a.call.Identity.Tenant, a.traffic(at.tokens)
	if at.choice.CrossRegion {
		a.d.metrics.crossRegion.With(string(tenant)).Inc(int64(traffic))
	}
	a.d.policy.end(now, at, tenant, traffic)
}

// Close ends the work behind the answer, wherever it is.
func (a *answer) Close() {
	if at := a.current; at != nil {
		a.current = nil
		a.abandon(at)
	}
	if a.waiter != nil {
		a.waiter.Done()
		a.waiter = nil
	}
	a.cancel()
	a.finish()
}

// abandon gives up an attempt whose answer nobody waits for any more.
func (a *answer) abandon(at *attempt) {
	at.close()
	a.finishAttempt(time.Now(), at)
	a.d.cancelAtEngine(at, a.call.ID, capacity.OutcomeDone)
}
