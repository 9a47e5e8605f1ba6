package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Meta is what the headers of a caller's request say.
type Meta struct {
	ID fleet.RequestID
	// Deadline is how long the caller waits; 0 if it doesn't say.
	Deadline time.Duration
	Target   fleet.Target
	// Prompt and Output are the numbers of prompt tokens and the most tokens to generate.
	Prompt, Output fleet.Tokens
	Parts          []balance.Part
	// LastEvent is the id of the last event that the caller of a resumed stream has; empty for a new request.
	LastEvent string
}

// Forward is what a request that is passed on says beyond the caller's own headers.
type Forward struct {
	Instance fleet.BackendID
	Deadline time.Duration
	Priority int
	// LastEvent replaces the caller's own where a stream is resumed.
	LastEvent string
}

// Head is what the headers of a backend server's answer say.
type Head struct {
	ID fleet.RequestID
	// Signed answers bear the mark of the backend server that ran the request.
	Signed bool
	// NotRun answers say that the request was not run and never will be.
	NotRun bool
	// Misdirected answers come from a server that is not the one meant, or lacks the model; they are not run.
	Misdirected bool
	// Instance is the server that answered, if it says so.
	Instance fleet.BackendID
}

// Dialect translates between HTTP headers and the terms used here; the platform's adapter implements it.
type Dialect interface {
	// Configuration reads a configuration.
	Configuration(data []byte) (*routes.Configuration, error)
	// Request reads the headers of a caller's request.
	Request(h *fasthttp.RequestHeader) Meta
	// Pass removes headers that only this system may set, and sets them.
	Pass(h *fasthttp.RequestHeader, f Forward)
	// Answer reads the headers of a backend server's answer.
	Answer(h *fasthttp.ResponseHeader) Head
}
