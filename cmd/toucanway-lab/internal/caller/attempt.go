package caller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
)

// attemptsPerRepetition is the distance between the attempt numbers of two repetitions of a key, so that they do not overlap.
const attemptsPerRepetition = 1000

// maxAnswer bounds an answer that is not streamed, in bytes.
const maxAnswer = 16 << 20

// attempt sends a request once and records the result in the outcome and the history.
func (c *Client) attempt(
	ctx context.Context, r *Request, host string, n int, remaining time.Duration, intended time.Time, o *Outcome,
) {
	id := history.Attempt{Key: r.Key, Number: r.Repetition*attemptsPerRepetition + n}
	h := c.settings.History
	h.Add(history.RequestInvoked{Attempt: id, Host: c.hostID(host), Deadline: remaining, NonIdempotent: r.NonIdempotent})
	a := &answer{request: r, startedAt: time.Now(), outcome: o}
	refusal, err := c.send(ctx, a, host, remaining)
	switch {
	case err != nil:
		o.Err = err
		h.Add(history.RequestLost{Attempt: id, Reason: err.Error()})
	case refusal != nil:
		o.Refusal = refusal
		h.Add(history.RequestRefused{
			Attempt: id, Request: fleet.RequestID(refusal.RequestID), Code: refusal.Code, Execution: refusal.Execution,
		})
	default:
		o.Answered = true
		o.WrongReason = a.wrongReason
		o.FirstToken = a.firstAt.Sub(intended)
		want, got := "whole", "whole"
		if a.wrongReason != "" {
			got = a.wrongReason
		}
		h.Add(history.RequestAnswered{
			Attempt: id, Request: fleet.RequestID(a.id), FirstByte: a.firstAt.Sub(a.startedAt), Want: want, Got: got,
		})
	}
}

// send sends a request once. It returns the refusal if there is one, or an error when neither a refusal nor a complete answer
// was received.
func (c *Client) send(ctx context.Context, a *answer, host string, remaining time.Duration) (*wire.ErrorDetail, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(remaining+c.settings.Grace, func() { cancel(errIdle) })
	defer timer.Stop()
	a.progress = func() { timer.Reset(idleTimeout) }
	req, err := c.newRequest(ctx, a.request, host, remaining)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, withCause(ctx, err)
	}
	defer resp.Body.Close()
	a.id = resp.Header.Get(wire.HeaderRequestID)
	if resp.StatusCode != http.StatusOK {
		var body wire.ErrorBody
		if err := decodeJSON(resp.Body, &body); err != nil {
			return nil, withCause(ctx, fmt.Errorf("status %d without a refusal: %w", resp.StatusCode, err))
		}
		if body.Error.RequestID == "" {
			body.Error.RequestID = a.id
		}
		return &body.Error, nil
	}
	var refusal *wire.ErrorDetail
	switch {
	case a.request.Service != "":
		err = a.readService(resp.Body)
	case a.request.Stream:
		refusal, err = a.readStream(resp.Body)
	default:
		err = a.readCompletion(resp.Body)
	}
	return refusal, withCause(ctx, err)
}

func (c *Client) newRequest(ctx context.Context, r *Request, host string, remaining time.Duration) (*http.Request, error) {
	body := r.Body
	if r.Service == "" {
		var err error
		if body, err = json.Marshal(r.completion()); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, cmp.Or(r.Method, http.MethodPost), "http://"+host+r.path(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http cannot retry the request by itself, which would hide a second run.
	req.GetBody = nil
	c.authorize(req, r.Credential)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if r.NonIdempotent {
		req.Header.Set(wire.HeaderIdempotency, string(r.Key))
	}
	return req, nil
}

// withCause adds to the error of a failed attempt why its context ended, if it did.
func withCause(ctx context.Context, err error) error {
	if err != nil && context.Cause(ctx) != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

func decodeJSON(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswer))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// answer reads and verifies the answer of one attempt.
type answer struct {
	request   *Request
	startedAt time.Time
	outcome   *Outcome
	// progress is called at each received event of a stream.
	progress    func()
	id          string
	firstAt     time.Time
	lastAt      time.Time
	nextIndex   int
	wrongReason string
}

// setWrongReason records why the answer is wrong; only the first reason is kept.
func (a *answer) setWrongReason(format string, args ...any) {
	if a.wrongReason == "" {
		a.wrongReason = fmt.Sprintf(format, args...)
	}
}

// event is one event of a stream: a chunk, or the refusal that ends the stream.
type event struct {
	wire.Chunk
	Error *wire.ErrorDetail `json:"error"`
}

func (a *answer) readStream(r io.Reader) (*wire.ErrorDetail, error) {
	d := wire.NewDecoder(r)
	a.outcome.Gaps = a.outcome.Gaps[:0]
	for {
		data, err := d.Next()
		if err != nil {
			return nil, fmt.Errorf("stream ends after %d tokens: %w", a.nextIndex, err)
		}
		a.progress()
		if string(data) == wire.Done {
			a.checkLength(a.nextIndex)
			return nil, nil
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("stream event is not a chunk: %w", err)
		}
		if e.Error != nil {
			return e.Error, nil
		}
		a.addChunk(&e.Chunk)
	}
}

func (a *answer) addChunk(c *wire.Chunk) {
	a.recordUsage(c)
	if a.id == "" {
		a.id = c.ID
	}
	if c.ID != "" && c.ID != a.id {
		a.setWrongReason("chunk of request %s in the answer of %s", c.ID, a.id)
	}
	text := ""
	for _, choice := range c.Choices {
		text += choice.Content()
	}
	if text == "" {
		return
	}
	now := time.Now()
	if a.firstAt.IsZero() {
		a.firstAt = now
	} else {
		a.outcome.Gaps = append(a.outcome.Gaps, now.Sub(a.lastAt))
	}
	a.lastAt = now
	if c.TokenIndex != nil && *c.TokenIndex != a.nextIndex {
		a.setWrongReason("token %d follows token %d", *c.TokenIndex, a.nextIndex-1)
	}
	// A chunk may contain several tokens.
	for prompt := a.request.prompt(); text != ""; a.nextIndex++ {
		want := tokens.Token(a.request.Target, prompt, a.nextIndex)
		if !strings.HasPrefix(text, want) {
			a.setWrongReason("token %d is %.20q and should be %q", a.nextIndex, text, want)
			a.nextIndex++
			return
		}
		text = text[len(want):]
	}
}

func (a *answer) recordUsage(c *wire.Chunk) {
	if c.Usage != nil && c.Usage.Details != nil {
		a.outcome.CachedTokens = c.Usage.Details.CachedTokens
	}
}

// checkLength checks the number of tokens in a complete answer.
func (a *answer) checkLength(length int) {
	if a.firstAt.IsZero() {
		a.firstAt = time.Now()
	}
	a.outcome.Tokens = length
	if want := tokens.Length(a.request.prompt(), a.request.MaxTokens); length != want {
		a.setWrongReason("answer has %d tokens and should have %d", length, want)
	}
}

func (a *answer) readCompletion(r io.Reader) error {
	var c wire.Chunk
	if err := decodeJSON(r, &c); err != nil {
		return fmt.Errorf("answer is not a completion: %w", err)
	}
	if len(c.Choices) == 0 {
		return errors.New("completion has no choice")
	}
	a.firstAt = time.Now()
	a.recordUsage(&c)
	if c.ID != "" && a.id != "" && c.ID != a.id {
		a.setWrongReason("answer of request %s to %s", c.ID, a.id)
	}
	text := c.Choices[0].Content()
	n := tokens.Length(a.request.prompt(), a.request.MaxTokens)
	if want := tokens.Answer(a.request.Target, a.request.prompt(), n); text != want {
		a.setWrongReason("answer is %.60q and should be %.60q", text, want)
	}
	a.checkLength(n)
	return nil
}

func (a *answer) readService(r io.Reader) error {
	var body struct {
		Key   string `json:"key"`
		Count int    `json:"count"`
	}
	if err := decodeJSON(r, &body); err != nil {
		return fmt.Errorf("cannot read the answer of the service: %w", err)
	}
	a.firstAt = time.Now()
	if body.Key != string(a.request.Key) {
		a.setWrongReason("answer is for key %q", body.Key)
	}
	if a.request.NonIdempotent && body.Count != 1 {
		a.setWrongReason("service ran the key %d times", body.Count)
	}
	return nil
}
