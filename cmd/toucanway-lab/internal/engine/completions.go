package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
)

// defaultPriority is that of requests without X-Priority.
const defaultPriority = int(fleet.ClassStandard)

func (p *process) completions(ctx *fasthttp.RequestCtx, chat bool) {
	r, stream, err := readRun(ctx, chat)
	if err != nil {
		refuse(ctx, "", &refusal{status: fasthttp.StatusBadRequest, reason: err.Error()})
		return
	}
	fence, err := headerNumber(ctx, wire.HeaderFence, 0)
	if err == nil {
		err = p.enter(r, fleet.Fence(fence))
	}
	if err == nil {
		if err = p.wait(r); err != nil {
			p.leave(r)
		}
	}
	var refused *refusal
	switch {
	case errors.As(err, &refused):
		refuse(ctx, r.id, refused)
		return
	case err != nil:
		failed(ctx, r.id, err)
		return
	}
	if stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer p.leave(r)
			// An error means that the connection or the run ended, which the reader sees as a stream without its end.
			_ = p.stream(r, w)
		})
		return
	}
	defer p.leave(r)
	if err := p.generate(r, func(int) error { return nil }); err != nil {
		failed(ctx, r.id, err)
		return
	}
	s := p.shown(r)
	var text []byte
	for i := r.from; i < s.length; i++ {
		text = append(text, tokens.Text(s.target, s.prompt, i)...)
	}
	c := s.chunk(string(text), &stop, true)
	c.Usage = s.usage()
	backend.WriteJSON(ctx, fasthttp.StatusOK, c)
}

var stop = "stop"

func (p *process) stream(r *run, w *bufio.Writer) error {
	send := func(data []byte) error {
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(data)
		_, _ = w.WriteString("\n\n")
		return w.Flush()
	}
	err := p.generate(r, func(index int) error {
		s := p.shown(r)
		c := s.chunk(tokens.Text(s.target, s.prompt, index), nil, false)
		c.TokenIndex = &index
		data, err := json.Marshal(c)
		if err != nil {
			return err
		}
		return send(data)
	})
	if err != nil {
		return err
	}
	s := p.shown(r)
	c := s.chunk("", &stop, false)
	c.Usage = s.usage()
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := send(data); err != nil {
		return err
	}
	return send([]byte(wire.Done))
}

// chunk returns a part of the answer, or the whole one.
func (r *run) chunk(text string, finish *string, whole bool) wire.Chunk {
	c := wire.Chunk{ID: string(r.id), Object: "text_completion", Model: r.target.String()}
	one := wire.Choice{FinishReason: finish}
	m := &tokens.Message{Role: "assistant", Content: text}
	switch {
	case r.chat && whole:
		c.Object, one.Message = "chat.completion", m
	case r.chat:
		c.Object, one.Delta = "chat.completion.chunk", m
	default:
		one.Text = text
	}
	c.Choices = []wire.Choice{one}
	return c
}

func (r *run) usage() *wire.Usage {
	prompt := int(tokens.Count(r.prompt))
	return &wire.Usage{
		PromptTokens: prompt, CompletionTokens: r.length, TotalTokens: prompt + r.length,
		Details: &wire.PromptDetails{CachedTokens: int(r.cached)},
	}
}

func readRun(ctx *fasthttp.RequestCtx, chat bool) (*run, bool, error) {
	var c wire.Completion
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		return nil, false, err
	}
	from, err := headerNumber(ctx, wire.HeaderResumeFrom, 0)
	if err != nil {
		return nil, false, err
	}
	priority, err := headerNumber(ctx, wire.HeaderPriority, uint64(defaultPriority))
	if err != nil {
		return nil, false, err
	}
	return &run{
		id:       fleet.RequestID(ctx.Request.Header.Peek(wire.HeaderRequestID)),
		target:   fleet.ParseTarget(c.Model),
		prompt:   c.Text(),
		chat:     chat,
		priority: int(priority),
		from:     int(from),
		length:   tokens.Length(c.Text(), c.MaxTokens),
	}, c.Stream, nil
}

// headerNumber returns the number in a header, or the standard value when it is absent.
func headerNumber(ctx *fasthttp.RequestCtx, name string, standard uint64) (uint64, error) {
	v := ctx.Request.Header.Peek(name)
	if len(v) == 0 {
		return standard, nil
	}
	n, err := strconv.ParseUint(string(v), 10, 63)
	if err != nil {
		return 0, &refusal{status: fasthttp.StatusBadRequest, reason: name + " is not a number"}
	}
	return n, nil
}

func refuse(ctx *fasthttp.RequestCtx, id fleet.RequestID, r *refusal) {
	writeError(ctx, id, r.status, r.reason, fleet.NotRun)
}

// failed answers a request that was given up while it was queued or running.
func failed(ctx *fasthttp.RequestCtx, id fleet.RequestID, err error) {
	writeError(ctx, id, fasthttp.StatusInternalServerError, err.Error(), fleet.MayHaveRun)
}

func writeError(ctx *fasthttp.RequestCtx, id fleet.RequestID, status int, reason string, x fleet.Execution) {
	backend.WriteJSON(ctx, status, wire.ErrorBody{Error: wire.ErrorDetail{
		Code: fleet.Code(reason), Message: reason, Execution: x, RequestID: string(id),
	}})
}

// cancelRequest gives up a queued or running request.
func (p *process) cancelRequest(ctx *fasthttp.RequestCtx) {
	var c wire.Cancel
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		refuse(ctx, "", &refusal{status: fasthttp.StatusBadRequest, reason: err.Error()})
		return
	}
	r := p.find(c.Request)
	if r == nil {
		refuse(ctx, c.Request, &refusal{status: fasthttp.StatusNotFound, reason: "unknown-request"})
		return
	}
	r.cancel()
	backend.WriteJSON(ctx, fasthttp.StatusOK, c)
}
