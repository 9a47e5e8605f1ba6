package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/routes"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID fleet.RequestID
	// Deadline is the time that the caller waits for the answer; 0 if unknown.
	Deadline time.Duration
	Target   fleet.Target
	// Prompt is the number of prompt tokens, Output the largest number of tokens to generate.
	Prompt, Output fleet.Tokens
	Parts          []balance.Part
	// LastEvent is the id of the last event that the caller of a resumed stream has received; empty for a new request.
	LastEvent string
	// Resumes is the id of the caller's attempt that brought the first event of the resumed stream; empty if it is not named.
	Resumes fleet.RequestID
	// Key is the key of a client account that the caller names; it is only valid until the request's headers change.
	Key []byte
}

// ForwardInfo is the information that the gateway adds to the headers of a forwarded request.
type ForwardInfo struct {
	Instance fleet.BackendID
	Deadline time.Duration
	Priority int
	// LastEvent replaces the caller's own value if the gateway resumes a stream.
	LastEvent string
	// PrefixSource is the address of an engine that may have the shared parts of the prompt in its KV cache; empty for none.
	PrefixSource string
	// HidesKey is set if the configuration has client accounts, so that the caller's key must not be forwarded. Account is then the
	// account in whose name the request is sent, or empty for a public route without a key.
	HidesKey bool
	Account  fleet.AccountID
}

// AnswerInfo is the information in the headers of a backend server's answer.
type AnswerInfo struct {
	ID fleet.RequestID
	// Signed is set if the answer has the stamp of the backend server that ran the request.
	Signed bool
	// NotRun is set if the request was not run and never will be.
	NotRun bool
	// Misdirected is set if the server is not the intended one or hasn't loaded the model; it has not run the request.
	Misdirected bool
	// Instance is the server that answered, if the answer names it.
	Instance fleet.BackendID
	// Notice is what the server says about further requests from this host.
	Notice holdoff.Notice
	// Limit is the rate limit that the server names.
	Limit fleet.RateLimit
}

// Dialect translates the platform's HTTP headers and configuration format; the platform's adapter implements it.
type Dialect interface {
	// Configuration decodes a configuration.
	Configuration(data []byte) (*routes.Configuration, error)
	// Request parses the headers of a caller's request.
	Request(h *fasthttp.RequestHeader) RequestInfo
	// SetForwardHeaders sets the headers that only this system may set; values from the caller are removed.
	SetForwardHeaders(h *fasthttp.RequestHeader, f ForwardInfo)
	// Answer parses the headers of a backend server's answer.
	Answer(h *fasthttp.ResponseHeader) AnswerInfo
}
