package callers

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
)

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         fleet.Code      `json:"code"`
	Message      string          `json:"message"`
	Execution    fleet.Execution `json:"execution"`
	RetryAfterMs int64           `json:"retry_after_ms"`
	RequestID    fleet.RequestID `json:"request_id"`
}

func refusalBody(id fleet.RequestID, r *fleet.Refusal) []byte {
	out, err := json.Marshal(errorBody{Error: errorDetail{
		Code: r.Code, Message: r.Message, Execution: r.Execution,
		RetryAfterMs: r.RetryAfter.Milliseconds(), RequestID: id,
	}})
	if err != nil {
		panic("callers: refusal cannot be encoded: " + err.Error())
	}
	return out
}

func writeRefusal(ctx *fasthttp.RequestCtx, id fleet.RequestID, r *fleet.Refusal) {
	ctx.SetStatusCode(httpStatus(r.Code))
	ctx.SetContentType("application/json")
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	ctx.SetBody(refusalBody(id, r))
}

// httpStatus returns the HTTP status for a refusal code.
func httpStatus(c fleet.Code) int {
	switch c {
	case fleet.CodeBadRequest:
		return fasthttp.StatusBadRequest
	case fleet.CodeUnauthorized:
		return fasthttp.StatusUnauthorized
	case fleet.CodeUnknownModel, fleet.CodeUnknownService:
		return fasthttp.StatusNotFound
	case fleet.CodeTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case fleet.CodeIdempotencyMismatch, fleet.CodePoisonRequest:
		return fasthttp.StatusUnprocessableEntity
	case fleet.CodeStillRunning, fleet.CodeOutcomeUnknown:
		return fasthttp.StatusConflict
	case fleet.CodeDeadlineExceeded, fleet.CodeDeadlineTooShort:
		return fasthttp.StatusGatewayTimeout
	case fleet.CodeQueueFull:
		return fasthttp.StatusTooManyRequests
	case fleet.CodeBackendFailed, fleet.CodeLoadFailed:
		return fasthttp.StatusBadGateway
	case fleet.CodeNoCapacity, fleet.CodeLedgerUnavailable, fleet.CodeLedgerFull, fleet.CodeHostDraining,
		fleet.CodeConfigurationStale:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusInternalServerError
	}
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     fleet.Tokens `json:"prompt_tokens"`
	CompletionTokens fleet.Tokens `json:"completion_tokens"`
	TotalTokens      fleet.Tokens `json:"total_tokens"`
}

// answerBody is a complete answer or one chunk of it, in the OpenAI style.
type answerBody struct {
	ID      fleet.RequestID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *Usage          `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// encodeAnswer returns the body of a complete answer, or of one chunk of a stream if chunk is set.
func encodeAnswer(c *Completion, created time.Time, text, finish string, usage *Usage, chunk bool) []byte {
	b := answerBody{ID: c.ID, Created: created.Unix(), Model: c.Target.String(), Usage: usage}
	one := choice{}
	if finish != "" {
		one.FinishReason = &finish
	}
	switch {
	case c.Chat && chunk:
		b.Object, one.Delta = "chat.completion.chunk", &message{Role: "assistant", Content: text}
	case c.Chat:
		b.Object, one.Message = "chat.completion", &message{Role: "assistant", Content: text}
	default:
		b.Object, one.Text = "text_completion", &text
	}
	b.Choices = []choice{one}
	out, err := json.Marshal(b)
	if err != nil {
		panic("callers: answer cannot be encoded: " + err.Error())
	}
	return out
}
