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
	// tokenTimeout is the longest time between two tokens before an engine counts as unresponsive.
	tokenTimeout = 10 * time.Second
	// resumeTimeout is the longest gap in a streamed answer while it is resumed at another backend server. It is shorter than the
	// usual idle timeout of callers.
	resumeTimeout = 8 * time.Second
	// busyRetryAfter is the delay before a retry that refusals for lack of capacity suggest.
	busyRetryAfter = time.Second
	// answerMargin is the part of the deadline that is reserved for the transfer of the answer to the caller.
	answerMargin = 20 * time.Millisecond
	// progressTokens is the number of tokens between two observations of an engine's speed.
	progressTokens = 16
	// tokenEventBytes is the usual size of one token's event on the network.
	tokenEventBytes = 256
)

// Complete admits a completion, waits for a replica and a slot, and returns the answer once its first token has arrived.
func (d *Dispatcher) Complete(ctx context.Context, c *callers.Completion) (callers.Answer, *fleet.Refusal) {
	started := time.Now()
	a, r := d.begin(ctx, c, started)
	if r == nil {
		if r = a.waitFirstToken(); r != nil {
			a.Close()
		}
	}
	d.metrics.countOutcome(c.Identity, r, time.Since(started))
	if r != nil {
		return nil, r
	}
	return a, nil
}

// begin checks a request and registers it as waiting.
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
		return nil, fleet.Refuse(fleet.CodeBadRequest, 0, "the body cannot be forwarded to an engine: %v", err)
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
		Bytes: a.estimateTraffic(int(a.predicted.Mean)),
	}
	if !d.policy.admit(now, c.Identity.Tenant, a.fingerprint, c.Target.Model) {
		return nil, fleet.Refuse(fleet.CodeQueueFull, busyRetryAfter, "the request repeats an earlier one and the tenant's retry budget is used up; wait for the given time before the next attempt")
	}
	if c.Stream {
		a.ctx, a.cancel = context.WithCancel(ctx)
	} else {
		// An answer that is not streamed is sent only once it is complete, so the deadline applies to all of it.
		a.ctx, a.cancel = context.WithDeadline(ctx, a.deadline.Add(-answerMargin))
	}
	a.endRequest = d.requests.begin()
	a.tracked = d.cfg.Reporter.AddRequest(c.Target, c.Identity.Class, a.deadline, d.policy.replicas(c.Target.Model) == 0)
	if r := a.checkPoison(now); r != nil {
		a.Close()
		return nil, r
	}
	return a, nil
}

// engineBody returns the caller's request with streaming enabled, without which an answer cannot be resumed.
func engineBody(c *callers.Completion) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// answer is the stream of a completion across all of its attempts; it implements callers.Answer. It is used by one goroutine at
// a time.
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
	// endRequest removes the request from the count of requests in flight.
	endRequest func()
	tracked    *planning.TrackedRequest

	attempts int
	// mayHaveRun is set once an attempt may have reached an engine.
	mayHaveRun bool
	// alone is set if the request is suspected of crashing backend servers and has to run alone.
	alone bool
	// exceedsPrediction is set once the output exceeds the predicted length.
	exceedsPrediction bool
	// preempted counts the attempts that were preempted by short work.
	preempted int
	// crashed is set if the last attempt ended with a crash of its backend server.
	crashed bool
	current *attempt
	// received counts the tokens that were forwarded to the caller or are in firstChunk.
	received int
	// lastTokenAt is when the last of them arrived.
	lastTokenAt time.Time
	// firstChunk has the first token until Next returns it.
	firstChunk *callers.Chunk
	ended      bool
}

// estimateTraffic estimates the bytes between this host and an engine for a number of output tokens.
func (a *answer) estimateTraffic(tokens int) fleet.Bytes {
	return fleet.Bytes(len(a.call.Body)) + fleet.Bytes(tokens)*tokenEventBytes
}

// waitFirstToken makes attempts until one has its first token.
func (a *answer) waitFirstToken() *fleet.Refusal {
	ctx, cancel := context.WithDeadline(a.ctx, a.deadline.Add(-answerMargin))
	defer cancel()
	chunk, r := a.nextChunk(ctx)
	if r != nil {
		return r
	}
	a.firstChunk = chunk
	return nil
}

// Next returns the next chunk, io.EOF after the last one, or a *fleet.Refusal.
func (a *answer) Next(ctx context.Context) (callers.Chunk, error) {
	if a.firstChunk != nil {
		c := *a.firstChunk
		a.firstChunk = nil
		return c, nil
	}
	if a.ended {
		return callers.Chunk{}, io.EOF
	}
	chunk, r := a.nextChunk(ctx)
	if r != nil {
		return callers.Chunk{}, r
	}
	if chunk == nil {
		return callers.Chunk{}, io.EOF
	}
	return *chunk, nil
}

// nextChunk reads the next token, with further attempts as long as the retry budget allows.
func (a *answer) nextChunk(ctx context.Context) (*callers.Chunk, *fleet.Refusal) {
	for {
		if a.current == nil {
			t, at, err := a.raceWithinResumeTimeout(ctx)
			var r *fleet.Refusal
			switch {
			case err == nil:
				a.current = at
				a.tracked.Started()
				a.d.running.add(a.call.ID, at)
				return a.toChunk(t), nil
			case errors.As(err, &r):
				return nil, a.withExecution(r)
			}
			if r := a.prepareRetry(ctx, time.Now(), err); r != nil {
				return nil, r
			}
			continue
		}
		t, err := a.current.stream.Next()
		now := time.Now()
		switch {
		case err == nil:
			a.observeToken(now)
			return a.toChunk(t), nil
		case errors.Is(err, io.EOF):
			a.complete(now)
			return nil, nil
		}
		at := a.current
		a.current = nil
		a.tracked.Requeued()
		at.close()
		if a.d.running.wasPreempted(a.call.ID) && a.ctx.Err() == nil {
			a.preempted++
			a.finishAttempt(now, at)
			a.d.cancelAtEngine(at, a.call.ID, capacity.OutcomePreempted)
			continue
		}
		a.handleFailure(now, at, err)
		if r := a.prepareRetry(ctx, now, err); r != nil {
			return nil, r
		}
	}
}

// raceWithinResumeTimeout calls race. If the caller has received part of its answer, it bounds the time, so that the caller gets
// an error before its own idle timeout ends the connection.
func (a *answer) raceWithinResumeTimeout(ctx context.Context) (engines.Token, *attempt, error) {
	if a.received == 0 {
		return a.race(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, a.lastTokenAt.Add(resumeTimeout))
	defer cancel()
	return a.race(ctx)
}

// toChunk converts a token of the current attempt into a chunk for the caller, and records its arrival.
func (a *answer) toChunk(t engines.Token) *callers.Chunk {
	a.received = a.current.stream.Received()
	a.lastTokenAt = a.current.lastTokenAt
	c := &callers.Chunk{Text: t.Text, Finish: t.Finish}
	if t.Usage != nil {
		c.Usage = &callers.Usage{
			PromptTokens: t.Usage.Prompt, CompletionTokens: t.Usage.Completion,
			TotalTokens: t.Usage.Prompt + t.Usage.Completion,
		}
		a.d.policy.observeCached(time.Now(), a.current, &a.route, t.Usage.Cached)
	}
	return c
}

// refuse returns a refusal whose execution state says whether the request may have run.
func (a *answer) refuse(code fleet.Code, retryAfter time.Duration, format string, args ...any) *fleet.Refusal {
	return a.withExecution(fleet.Refuse(code, retryAfter, format, args...))
}

// withExecution sets the execution state of a refusal to MayHaveRun if an attempt may have reached an engine.
func (a *answer) withExecution(r *fleet.Refusal) *fleet.Refusal {
	if a.mayHaveRun && r.Execution == fleet.NotRun {
		out := *r
		out.Execution = fleet.MayHaveRun
		return &out
	}
	return r
}

// timeoutRefusal returns the refusal of a request whose deadline has passed or whose caller has disconnected; resumed means that
// the caller has received part of its answer.
func (a *answer) timeoutRefusal(resumed bool) *fleet.Refusal {
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled):
		return fleet.Refuse(fleet.CodeDeadlineExceeded, busyRetryAfter, "the caller disconnected")
	case a.ctx.Err() != nil:
		return fleet.Refuse(fleet.CodeDeadlineExceeded, busyRetryAfter,
			"the answer of model %s was not complete before the deadline; request a stream or allow more time", a.call.Target)
	case resumed:
		return fleet.Refuse(fleet.CodeBackendFailed, busyRetryAfter,
			"the answer of model %s was interrupted and could not be resumed within %s; send the request again", a.call.Target, resumeTimeout)
	default:
		return fleet.Refuse(fleet.CodeDeadlineExceeded, busyRetryAfter,
			"no slot of model %s became free before the deadline; send the request again", a.call.Target)
	}
}

// checkPoison refuses a request that crashed backend servers, and marks a suspect to run alone.
func (a *answer) checkPoison(now time.Time) *fleet.Refusal {
	switch dec := a.d.policy.decide(now, a.fingerprint, a.call.Target.Model).(type) {
	case poison.Run:
		a.alone = false
	case poison.RunAlone, poison.Wait:
		a.alone = true
		a.tracked.RequireAlone()
	case poison.Refuse:
		return a.withExecution(dec.Refusal)
	default:
		panic("dispatch: poison decision without a handler")
	}
	return nil
}

// observeToken records a token of the current attempt.
func (a *answer) observeToken(now time.Time) {
	at := a.current
	a.d.metrics.tokenGap.With(a.call.Identity.Class.String()).Update(int64(now.Sub(at.lastTokenAt)))
	at.tokens++
	at.lastTokenAt = now
	if at.tokens%progressTokens != 0 {
		return
	}
	a.reportProgress(now, at)
	if !a.exceedsPrediction && a.d.policy.exceedsPrediction(a.predicted, fleet.Tokens(a.received)) {
		a.exceedsPrediction = true
		a.d.release(at, capacity.OutcomeExceededPrediction, 0)
	}
}

func (a *answer) reportProgress(now time.Time, at *attempt) {
	if n := at.tokens - at.reportedTokens; n > 0 {
		a.d.policy.observeProgress(now, routing.Progress{
			Backend: at.backend.Announcement.ID, Model: a.call.Target.Model,
			Tokens: fleet.Tokens(n), Elapsed: now.Sub(at.reportedAt),
		})
		at.reportedTokens, at.reportedAt = at.tokens, now
	}
}

// complete ends the current attempt after the last token of the answer.
func (a *answer) complete(now time.Time) {
	at := a.current
	a.current = nil
	a.ended = true
	at.close()
	a.reportProgress(now, at)
	a.finishAttempt(now, at)
	a.d.release(at, capacity.OutcomeDone, a.prompt+fleet.Tokens(a.received))
	a.d.policy.observeCompletion(a.features, a.fingerprint, fleet.Tokens(a.received))
	if a.d.policy.completed(a.fingerprint) {
		a.d.clearSuspect(a.fingerprint)
	}
}

// finishAttempt removes an attempt that send registered and records its traffic.
func (a *answer) finishAttempt(now time.Time, at *attempt) {
	a.d.running.remove(a.call.ID, at)
	a.d.inflight.remove(at.incarnation(), a.call.ID)
	tenant, traffic := a.call.Identity.Tenant, a.estimateTraffic(at.tokens)
	if at.choice.CrossRegion {
		a.d.metrics.crossRegionBytes.With(string(tenant)).Inc(int64(traffic))
	}
	a.d.policy.endAttempt(now, at, tenant, traffic)
}

// Close cancels the request if it is not finished, and releases its resources.
func (a *answer) Close() {
	if at := a.current; at != nil {
		a.current = nil
		a.abandon(at)
	}
	if a.tracked != nil {
		a.tracked.Ended()
		a.tracked = nil
	}
	a.cancel()
	a.endRequest()
}

// abandon cancels an attempt whose answer is no longer needed.
func (a *answer) abandon(at *attempt) {
	at.close()
	a.finishAttempt(time.Now(), at)
	a.d.cancelAtEngine(at, a.call.ID, capacity.OutcomeDone)
}
