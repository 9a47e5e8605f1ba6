package wire

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/core/fleet"
)

// Header names.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderFence       = "X-Fence"
	HeaderPriority    = "X-Priority"
	HeaderResumeFrom  = "X-Resume-From"
	HeaderDeadline    = "X-Deadline-Ms"
	HeaderIdempotency = "Idempotency-Key"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// Completion is the body of a completion request for a prompt or, when Messages is set, a chat.
type Completion struct {
	Model     string           `json:"model"`
	Prompt    string           `json:"prompt,omitempty"`
	Messages  []tokens.Message `json:"messages,omitempty"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
}

// PromptText returns the prompt, or the prompt built from the messages of a chat.
func (c *Completion) PromptText() string {
	if len(c.Messages) > 0 {
		return tokens.Chat(c.Messages)
	}
	return c.Prompt
}

// Chunk is one event of a streamed answer, or a complete answer that is not streamed.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// TokenIndex is the index of the chunk's token in the complete answer, counted from 0.
	TokenIndex *int   `json:"token_index,omitempty"`
	Usage      *Usage `json:"usage,omitempty"`
}

// Choice holds the text of an answer or chunk; chats have it in Delta or Message.
type Choice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text,omitempty"`
	Delta        *tokens.Message `json:"delta,omitempty"`
	Message      *tokens.Message `json:"message,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Content returns the text of a choice from whichever field holds it.
func (c Choice) Content() string {
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	default:
		return c.Text
	}
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	Details          *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails holds the number of prompt tokens found in the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a refusal.
type ErrorDetail struct {
	Code         fleet.Code      `json:"code"`
	Message      string          `json:"message"`
	Execution    fleet.Execution `json:"execution"`
	RetryAfterMs int64           `json:"retry_after_ms"`
	RequestID    string          `json:"request_id"`
}

// Advice is the answer of GET /v1/hosts: the entry hosts that a caller should use.
type Advice struct {
	Hosts      []AdvisedHost `json:"hosts"`
	LifetimeMs int64         `json:"lifetime_ms"`
}

// AdvisedHost is one entry host in an Advice.
type AdvisedHost struct {
	Address string `json:"address"`
}

// Lifetime returns how long the advice may be cached.
func (a Advice) Lifetime() time.Duration { return time.Duration(a.LifetimeMs) * time.Millisecond }

// OrderAnswer is an engine's answer to an order.
type OrderAnswer struct {
	Order   fleet.OrderID `json:"order"`
	Outcome string        `json:"outcome"`
	Message string        `json:"message,omitempty"`
}

// Outcomes in an OrderAnswer.
const (
	OutcomeDone    = "done"
	OutcomeRefused = "refused"
	OutcomeFailed  = "failed"
)

// Cancel is the message that cancels a request at an engine.
type Cancel struct {
	Request fleet.RequestID `json:"request"`
}

// Leave is the message by which a backend server announces that it accepts no more work.
type Leave struct {
	ID          fleet.BackendID   `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}
