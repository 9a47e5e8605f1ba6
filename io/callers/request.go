package callers

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
)

// Headers of requests from callers and of their answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderHosts          = "X-Toucanway-Hosts"
)

const (
	maxKeyBytes = 256
	// bytesPerToken is less than the average size of a token in usual text. The estimate of the prompt's KV cache, which is made
	// without the model's tokenizer, is therefore too high rather than too low.
	bytesPerToken = 2
	// defaultMaxTokens is the output limit of a request without one, as in the OpenAI completions API.
	defaultMaxTokens fleet.Tokens = 256
)

// Identity is the caller that a credential belongs to, with its tenant and priority class.
type Identity struct {
	Caller fleet.CallerID
	Tenant fleet.TenantID
	Class  fleet.Class
}

// Completion is one request to a model.
type Completion struct {
	ID       fleet.RequestID
	Identity Identity
	Target   fleet.Target
	// Deadline is the time in which a streamed answer has to begin and any other answer has to be complete; zero means the
	// configured default.
	Deadline  time.Duration
	Chat      bool
	Stream    bool
	Prompt    string
	MaxTokens fleet.Tokens
	// Key is the Idempotency-Key header; empty if the request has none.
	Key string
	// Body is the request as the caller sent it.
	Body []byte
}

// PromptTokens returns an estimate of the prompt's length in tokens. It is too high rather than too low.
func (c *Completion) PromptTokens() fleet.Tokens {
	return fleet.Tokens((len(c.Prompt) + bytesPerToken - 1) / bytesPerToken)
}

// ServiceCall is one request to a plain service. Deadline and Key have the same meaning as in Completion.
type ServiceCall struct {
	ID       fleet.RequestID
	Identity Identity
	Service  fleet.ServiceID
	Deadline time.Duration
	Key      string
	Method   string
	// Path is the part of the URI path after the service's name, with its query.
	Path        string
	ContentType string
	Body        []byte
}

// completionBody holds the fields of an OpenAI-style request that the host reads.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseCompletion decodes the body of a completion; the refusal says what to change.
func parseCompletion(c *Completion) *fleet.Refusal {
	var b completionBody
	if err := json.Unmarshal(c.Body, &b); err != nil {
		return fleet.Refuse(fleet.CodeBadRequest, 0, "the body is not a valid JSON request: %v", err)
	}
	if b.Model == "" {
		return fleet.Refuse(fleet.CodeBadRequest, 0, "the body names no model; set \"model\" to one that GET /v1/models lists")
	}
	c.Target = fleet.ParseTarget(b.Model)
	c.Stream = b.Stream
	c.MaxTokens = defaultMaxTokens
	for _, n := range []*int64{b.MaxTokens, b.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > 1<<20 {
			return fleet.Refuse(fleet.CodeBadRequest, 0, "the output limit is %d tokens; set it between 1 and 1048576", *n)
		}
		c.MaxTokens = fleet.Tokens(*n)
	}
	if c.Chat {
		return parseMessages(c, b.Messages)
	}
	return parsePrompt(c, b.Prompt)
}

func parseMessages(c *Completion, messages []message) *fleet.Refusal {
	if len(messages) == 0 {
		return fleet.Refuse(fleet.CodeBadRequest, 0, "the body has no messages; add at least one to \"messages\"")
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	c.Prompt = b.String()
	return nil
}

func parsePrompt(c *Completion, raw json.RawMessage) *fleet.Refusal {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		c.Prompt = one
		return nil
	}
	var many []string
	if json.Unmarshal(raw, &many) == nil && len(many) == 1 {
		c.Prompt = many[0]
		return nil
	}
	return fleet.Refuse(fleet.CodeBadRequest, 0, "\"prompt\" must be one string; send one request for each prompt")
}

// parseDeadline reads the deadline header; zero means that there is none.
func parseDeadline(h *fasthttp.RequestHeader) (time.Duration, *fleet.Refusal) {
	v := h.Peek(HeaderDeadline)
	if len(v) == 0 {
		return 0, nil
	}
	ms, err := strconv.ParseInt(string(v), 10, 32)
	if err != nil || ms < 1 {
		return 0, fleet.Refuse(fleet.CodeBadRequest, 0, "%s must be a whole number of milliseconds above 0", HeaderDeadline)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseKey reads the idempotency key; empty means that there is none.
func parseKey(h *fasthttp.RequestHeader) (string, *fleet.Refusal) {
	v := h.Peek(HeaderIdempotencyKey)
	if len(v) > maxKeyBytes {
		return "", fleet.Refuse(fleet.CodeBadRequest, 0, "%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	return string(v), nil
}

// bearerToken returns the token of the Authorization header.
func bearerToken(h *fasthttp.RequestHeader) string {
	scheme, token, _ := strings.Cut(string(h.Peek(fasthttp.HeaderAuthorization)), " ")
	if !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
