package caller

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
)

// Request is one request of a caller. Service requests have a Service, model requests a Target.
type Request struct {
	// Key is unique among all requests of a run; retries and repetitions have the same key.
	Key history.Key
	// Label groups requests in results.
	Label string
	// NonIdempotent marks a request that must not run twice; it is sent with its key as Idempotency-Key.
	NonIdempotent bool
	// Repetition is the number of a repetition, in which the person behind the caller sends the same key again; it is 0 for the
	// first request. It gives the attempts of each repetition distinct numbers.
	Repetition int
	// Credential replaces Settings.Credential when it is not empty.
	Credential string
	// Deadline is the longest wait for the beginning of the answer, counted from the intended send time.
	Deadline time.Duration

	Target    fleet.Target
	Prompt    string
	Messages  []tokens.Message
	MaxTokens int
	Stream    bool

	Service fleet.ServiceID
	// Method is the HTTP method of a service request; empty means POST.
	Method string
	Path   string
	// Body is the body of a service request, with the key in its field "key".
	Body []byte
}

func (r *Request) completion() wire.Completion {
	return wire.Completion{
		Model: r.Target.String(), Prompt: r.Prompt, Messages: r.Messages, MaxTokens: r.MaxTokens, Stream: r.Stream,
	}
}

// prompt returns the prompt that the engine uses, for chats the one built from the messages.
func (r *Request) prompt() string {
	c := r.completion()
	return c.PromptText()
}

func (r *Request) path() string {
	switch {
	case r.Service != "":
		return "/v1/services/" + string(r.Service) + r.Path
	case len(r.Messages) > 0:
		return "/v1/chat/completions"
	default:
		return "/v1/completions"
	}
}

// Outcome is how a request ended for its caller, after all attempts.
type Outcome struct {
	// Answered means that a complete answer was received; WrongReason says why it is not the right one, empty
	// if it is.
	Answered    bool
	WrongReason string
	// Refusal is the refusal of the last attempt; nil if that attempt was answered or lost.
	Refusal *wire.ErrorDetail
	// Err is the error of the last attempt if that attempt was lost.
	Err      error
	Attempts int
	// FirstToken and Total are counted from the intended send time.
	FirstToken, Total time.Duration
	// Gaps are the times between the tokens of a streamed answer.
	Gaps         []time.Duration
	Tokens       int
	CachedTokens int
}
