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

// maxNumber separates the attempts of one sending of a key from those of the next.
const maxNumber = 1000

// maxAnswer bounds an answer that is not streamed.
const maxAnswer = 16 << 20

// attempt sends a request once and records what became of it.
func (c *Client) attempt(
	ctx context.Context, r *Request, host string, n int, remaining time.Duration, intended time.Time, o *Outcome,
) {
	id := history.Attempt{Key: r.Key, Number: r.Resend*maxNumber + n}
	h := c.settings.History
	h.Add(history.RequestInvoked{Attempt: id, Host: c.hostID(host), Deadline: remaining, Once: r.Once})
	a := &answer{request: r, began: time.Now(), outcome: o}
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
		o.Wrong = a.wrong
		o.FirstToken = a.first.Sub(intended)
		want, got := "whole", "whole"
		if a.wrong != "" {
			got = a.wrong
		}
		h.Add(history.RequestAnswered{
			Attempt: id, Request: fleet.RequestID(a.id), FirstByte: a.first.Sub(a.began), Want: want, Got: got,
		})
	}
}

// send sends a request once. It returns a refusal, or an error when neither a refusal nor a whole answer came.
func (c *Client) send(ctx context.Context, a *answer, host string, remaining time.Duration) (*wire.ErrorDetail, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(remaining+c.settings.Grace, func() { cancel(errIdle) })
	defer timer.Stop()
	a.progress = func() { timer.Reset(idleLimit) }
	req, err := c.newRequest(ctx, a.request, host, remaining)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, cause(ctx, err)
	}
	defer resp.Body.Close()
	a.id = resp.Header.Get(wire.HeaderRequestID)
	if resp.StatusCode != http.StatusOK {
		var body wire.ErrorBody
		if err := decode(resp.Body, &body); err != nil {
			return nil, cause(ctx, fmt.Errorf("status %d without a refusal: %w", resp.StatusCode, err))
		}
		if body.Error.RequestID == "" {
			body.Error.RequestID = a.id
		}
		return &body.Error, nil
	}
	var refusal *wire.ErrorDetail
	switch {
	case a.request.Service != "":
		err = a.service(resp.Body)
	case a.request.Stream:
		refusal, err = a.stream(resp.Body)
	default:
		err = a.whole(resp.Body)
	}
	return refusal, cause(ctx, err)
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
	// Without a way to read the body again net/http never resends a request by itself, which would hide a second run.
	req.GetBody = nil
	c.authorize(req, r.Credential)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if r.Once {
		req.Header.Set(wire.HeaderIdempotency, string(r.Key))
	}
	return req, nil
}

// cause returns why the context of a failed attempt ended, if it did.
func cause(ctx context.Context, err error) error {
	if err != nil && context.Cause(ctx) != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

func decode(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswer))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// answer reads and verifies the answer of one attempt.
type answer struct {
	request *Request
	began   time.Time
	outcome *Outcome
	// progress is called at each part of the answer.
	progress func()
	id       string
	first    time.Time
	last     time.Time
	next     int
	wrong    string
}

func (a *answer) fault(format string, args ...any) {
	if a.wrong == "" {
		a.wrong = fmt.Sprintf(format, args...)
	}
}

// event is a chunk of a stream, or the refusal that ends it.
type event struct {
	wire.Chunk
	Error *wire.ErrorDetail `json:"error"`
}

func (a *answer) stream(r io.Reader) (*wire.ErrorDetail, error) {
	d := wire.NewDecoder(r)
	a.outcome.Gaps = a.outcome.Gaps[:0]
	for {
		data, err := d.Next()
		if err != nil {
			return nil, fmt.Errorf("stream ends after %d tokens: %w", a.next, err)
		}
		a.progress()
		if string(data) == wire.Done {
			a.end(a.next)
			return nil, nil
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("event is no chunk: %w", err)
		}
		if e.Error != nil {
			return e.Error, nil
		}
		a.chunk(&e.Chunk)
	}
}

func (a *answer) chunk(c *wire.Chunk) {
	a.usage(c)
	if a.id == "" {
		a.id = c.ID
	}
	if c.ID != "" && c.ID != a.id {
		a.fault("chunk of request %s in the answer of %s", c.ID, a.id)
	}
	text := ""
	for _, choice := range c.Choices {
		text += choice.Content()
	}
	if text == "" {
		return
	}
	now := time.Now()
	if a.first.IsZero() {
		a.first = now
	} else {
		a.outcome.Gaps = append(a.outcome.Gaps, now.Sub(a.last))
	}
	a.last = now
	if c.TokenIndex != nil && *c.TokenIndex != a.next {
		a.fault("token %d follows token %d", *c.TokenIndex, a.next-1)
	}
	// A chunk may hold several tokens.
	for prompt := a.request.prompt(); text != ""; a.next++ {
		want := tokens.Text(a.request.Target, prompt, a.next)
		if !strings.HasPrefix(text, want) {
			a.fault("token %d is %.20q and should be %q", a.next, text, want)
			a.next++
			return
		}
		text = text[len(want):]
	}
}

func (a *answer) usage(c *wire.Chunk) {
	if c.Usage != nil && c.Usage.Details != nil {
		a.outcome.CachedTokens = c.Usage.Details.CachedTokens
	}
}

// end checks the length of a whole answer.
func (a *answer) end(length int) {
	if a.first.IsZero() {
		a.first = time.Now()
	}
	a.outcome.Tokens = length
	if want := tokens.Length(a.request.prompt(), a.request.MaxTokens); length != want {
		a.fault("answer has %d tokens and should have %d", length, want)
	}
}

func (a *answer) whole(r io.Reader) error {
	var c wire.Chunk
	if err := decode(r, &c); err != nil {
		return fmt.Errorf("answer is no completion: %w", err)
	}
	if len(c.Choices) == 0 {
		return errors.New("completion has no choice")
	}
	a.first = time.Now()
	a.usage(&c)
	if c.ID != "" && a.id != "" && c.ID != a.id {
		a.fault("answer of request %s to %s", c.ID, a.id)
	}
	text := c.Choices[0].Content()
	n := tokens.Length(a.request.prompt(), a.request.MaxTokens)
	if want := tokens.Answer(a.request.Target, a.request.prompt(), n); text != want {
		a.fault("answer is %.60q and should be %.60q", text, want)
	}
	a.end(n)
	return nil
}

func (a *answer) service(r io.Reader) error {
	var body struct {
		Key   string `json:"key"`
		Count int    `json:"count"`
	}
	if err := decode(r, &body); err != nil {
		return fmt.Errorf("answer of the service cannot be read: %w", err)
	}
	a.first = time.Now()
	if body.Key != string(a.request.Key) {
		a.fault("answer is for key %q", body.Key)
	}
	if a.request.Once && body.Count != 1 {
		a.fault("service ran the key %d times", body.Count)
	}
	return nil
}
