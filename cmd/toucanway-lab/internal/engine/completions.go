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

// defaultPriority is the priority of requests without X-Priority.
const defaultPriority = int(fleet.ClassStandard)

func (p *process) handleCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	r, stream, err := readRun(ctx, chat)
	if err != nil {
		writeRefusal(ctx, "", &refusal{status: fasthttp.StatusBadRequest, reason: err.Error()})
		return
	}
	fence, err := headerNumber(ctx, wire.HeaderFence, 0)
	if err == nil {
		err = p.enqueue(r, fleet.Fence(fence))
	}
	if err == nil {
		if err = p.waitForSlot(r); err != nil {
			p.remove(r)
		}
	}
	var refused *refusal
	switch {
	case errors.As(err, &refused):
		writeRefusal(ctx, r.id, refused)
		return
	case err != nil:
		writeFailure(ctx, r.id, err)
		return
	}
	if stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer p.remove(r)
			// An error means that the connection or the run ended. The client then sees a stream without its end event.
			_ = p.stream(r, w)
		})
		return
	}
	defer p.remove(r)
	if err := p.generate(r, func(int) error { return nil }); err != nil {
		writeFailure(ctx, r.id, err)
		return
	}
	s := p.runToAnswer(r)
	var text []byte
	for i := r.resumeFrom; i < s.length; i++ {
		text = append(text, tokens.Token(s.target, s.prompt, i)...)
	}
	c := s.chunk(string(text), &finishStop, true)
	c.Usage = s.usage()
	backend.WriteJSON(ctx, fasthttp.StatusOK, c)
}

var finishStop = "stop"

func (p *process) stream(r *run, w *bufio.Writer) error {
	send := func(data []byte) error {
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(data)
		_, _ = w.WriteString("\n\n")
		return w.Flush()
	}
	err := p.generate(r, func(index int) error {
		s := p.runToAnswer(r)
		c := s.chunk(tokens.Token(s.target, s.prompt, index), nil, false)
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
	s := p.runToAnswer(r)
	c := s.chunk("", &finishStop, false)
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

// chunk returns one event of a streamed answer or, when whole is set, the complete answer.
func (r *run) chunk(text string, finish *string, whole bool) wire.Chunk {
	c := wire.Chunk{ID: string(r.id), Object: "text_completion", Model: r.target.String()}
	choice := wire.Choice{FinishReason: finish}
	m := &tokens.Message{Role: "assistant", Content: text}
	switch {
	case r.chat && whole:
		c.Object, choice.Message = "chat.completion", m
	case r.chat:
		c.Object, choice.Delta = "chat.completion.chunk", m
	default:
		choice.Text = text
	}
	c.Choices = []wire.Choice{choice}
	return c
}

func (r *run) usage() *wire.Usage {
	prompt := int(tokens.Count(r.prompt))
	return &wire.Usage{
		PromptTokens: prompt, CompletionTokens: r.length, TotalTokens: prompt + r.length,
		Details: &wire.PromptDetails{CachedTokens: int(r.cachedTokens)},
	}
}

func readRun(ctx *fasthttp.RequestCtx, chat bool) (*run, bool, error) {
	var c wire.Completion
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		return nil, false, err
	}
	resumeFrom, err := headerNumber(ctx, wire.HeaderResumeFrom, 0)
	if err != nil {
		return nil, false, err
	}
	priority, err := headerNumber(ctx, wire.HeaderPriority, uint64(defaultPriority))
	if err != nil {
		return nil, false, err
	}
	return &run{
		id:         fleet.RequestID(ctx.Request.Header.Peek(wire.HeaderRequestID)),
		target:     fleet.ParseTarget(c.Model),
		prompt:     c.PromptText(),
		chat:       chat,
		priority:   int(priority),
		resumeFrom: int(resumeFrom),
		length:     tokens.Length(c.PromptText(), c.MaxTokens),
	}, c.Stream, nil
}

// headerNumber returns the number in a header, or the default value when the header is absent.
func headerNumber(ctx *fasthttp.RequestCtx, name string, defaultValue uint64) (uint64, error) {
	v := ctx.Request.Header.Peek(name)
	if len(v) == 0 {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(string(v), 10, 63)
	if err != nil {
		return 0, &refusal{status: fasthttp.StatusBadRequest, reason: name + " is not a number"}
	}
	return n, nil
}

func writeRefusal(ctx *fasthttp.RequestCtx, id fleet.RequestID, r *refusal) {
	writeError(ctx, id, r.status, r.reason, fleet.NotRun)
}

// writeFailure answers a request that failed while it was queued or running; it may have run.
func writeFailure(ctx *fasthttp.RequestCtx, id fleet.RequestID, err error) {
	writeError(ctx, id, fasthttp.StatusInternalServerError, err.Error(), fleet.MayHaveRun)
}

func writeError(ctx *fasthttp.RequestCtx, id fleet.RequestID, status int, reason string, execution fleet.Execution) {
	backend.WriteJSON(ctx, status, wire.ErrorBody{Error: wire.ErrorDetail{
		Code: fleet.Code(reason), Message: reason, Execution: execution, RequestID: string(id),
	}})
}

// handleCancel cancels a queued or running request.
func (p *process) handleCancel(ctx *fasthttp.RequestCtx) {
	var c wire.Cancel
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeRefusal(ctx, "", &refusal{status: fasthttp.StatusBadRequest, reason: err.Error()})
		return
	}
	r := p.findRun(c.Request)
	if r == nil {
		writeRefusal(ctx, c.Request, &refusal{status: fasthttp.StatusNotFound, reason: "unknown-request"})
		return
	}
	r.cancel()
	backend.WriteJSON(ctx, fasthttp.StatusOK, c)
}
