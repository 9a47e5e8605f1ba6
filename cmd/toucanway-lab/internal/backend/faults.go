package backend

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the switches of a stand-in; the zero value is a healthy one.
type Faults struct {
	// Slow multiplies the time of all work; zero and one are full speed.
	Slow float64 `json:"slow,omitempty"`
	// Mute accepts requests and never answers.
	Mute bool `json:"mute,omitempty"`
	// Late delays each answer.
	Late time.Duration `json:"late,omitempty"`
	// Swap answers requests with the answer of another request.
	Swap bool `json:"swap,omitempty"`
	// CrashOnLoad crashes in the middle of the next load.
	CrashOnLoad bool `json:"crash-on-load,omitempty"`
	// CrashOnPrompt crashes when a request runs whose prompt or body contains this text.
	CrashOnPrompt string `json:"crash-on-prompt,omitempty"`
}

// Scale returns a duration as it is under the slow fault.
func (f Faults) Scale(d time.Duration) time.Duration {
	if f.Slow > 0 {
		return time.Duration(float64(d) * f.Slow)
	}
	return d
}

// Switches hold the present faults. The zero value is healthy; it is safe for concurrent use.
type Switches struct {
	mu     sync.Mutex
	faults Faults
}

// Get returns the present faults.
func (s *Switches) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults.
func (s *Switches) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// HandleLab serves the switches of a backend server, and returns false for requests that are not for them: GET and PUT
// /lab/faults, and POST /lab/crash with restart-ms.
func (v *Lives) HandleLab(ctx *fasthttp.RequestCtx, s *Switches) bool {
	switch string(ctx.Path()) {
	case "/lab/faults":
		s.Handle(ctx)
	case "/lab/crash":
		if restart := ctx.QueryArgs().GetUintOrZero("restart-ms"); restart > 0 {
			v.CrashFor(time.Duration(restart) * time.Millisecond)
		} else {
			v.Crash()
		}
	default:
		return false
	}
	return true
}

// Handle serves GET and PUT of the faults as JSON.
func (s *Switches) Handle(ctx *fasthttp.RequestCtx) {
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

// WriteJSON answers with a value as JSON.
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
