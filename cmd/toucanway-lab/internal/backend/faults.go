package backend

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the faults injected into a simulated backend server; the zero value is a healthy one.
type Faults struct {
	// Slow multiplies the time of all work; zero and one mean full speed.
	Slow float64 `json:"slow,omitempty"`
	// Mute makes the server accept requests and never answer.
	Mute bool `json:"mute,omitempty"`
	// Late delays each answer.
	Late time.Duration `json:"late,omitempty"`
	// Swap makes the server answer requests with the answer of another request.
	Swap bool `json:"swap,omitempty"`
	// CrashOnLoad makes the server crash in the middle of the next model load.
	CrashOnLoad bool `json:"crash-on-load,omitempty"`
	// CrashOnPrompt makes the server crash when it runs a request whose prompt or body contains this text.
	CrashOnPrompt string `json:"crash-on-prompt,omitempty"`
}

// Scale returns a duration multiplied by the slow fault.
func (f Faults) Scale(d time.Duration) time.Duration {
	if f.Slow > 0 {
		return time.Duration(float64(d) * f.Slow)
	}
	return d
}

// FaultSwitches holds the current faults of a backend server. The zero value has none. It is safe for concurrent use.
type FaultSwitches struct {
	mu     sync.Mutex
	faults Faults
}

// Get returns the current faults.
func (s *FaultSwitches) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults.
func (s *FaultSwitches) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// HandleLab serves the fault injection API of a backend server: GET and PUT /lab/faults, and /lab/crash, which restarts the
// server after restart-ms if that is given. It returns false for requests with other paths.
func (v *Supervisor) HandleLab(ctx *fasthttp.RequestCtx, s *FaultSwitches) bool {
	switch string(ctx.Path()) {
	case "/lab/faults":
		s.Handle(ctx)
	case "/lab/crash":
		if restart := ctx.QueryArgs().GetUintOrZero("restart-ms"); restart > 0 {
			v.CrashAndRestart(time.Duration(restart) * time.Millisecond)
		} else {
			v.Crash()
		}
	default:
		return false
	}
	return true
}

// Handle serves GET and PUT of the faults as JSON; PUT replaces them.
func (s *FaultSwitches) Handle(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.Set(f)
	}
	WriteJSON(ctx, fasthttp.StatusOK, s.Get())
}

// WriteJSON writes a response with a value as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
