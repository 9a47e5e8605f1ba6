package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
)

// ErrRunning reports a start of an engine that has not stopped.
var ErrRunning = errors.New("engine is running; stop it first")

// Engine is a stand-in engine through all its lives. It is safe for concurrent use.
type Engine struct {
	settings Settings
	// Faults are kept across restarts.
	Faults backend.Switches

	mu          sync.Mutex
	incarnation fleet.Incarnation
	address     string
	current     *process
	past        []*backend.Life
	checkpoints checkpoints
	restart     *time.Timer
}

// New returns an engine that is not started.
func New(s Settings) *Engine {
	s = s.withDefaults()
	return &Engine{
		settings: s, address: s.Address, incarnation: s.Incarnation - 1,
		checkpoints: newCheckpoints(s.Tiers, s.MemoryCheckpoints, s.DiskCheckpoints),
	}
}

// Start begins a life with empty memory and the next incarnation.
func (e *Engine) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		return ErrRunning
	}
	p := newProcess(e, e.incarnation+1)
	life, err := backend.Begin(e.settings.Network, e.address)
	if err != nil {
		return fmt.Errorf("start engine %s: %w", e.settings.ID, err)
	}
	e.incarnation++
	e.address = life.Address()
	e.current = p
	p.begin(life)
	e.settings.History.Add(history.BackendStarted{Backend: e.settings.ID, Incarnation: e.incarnation})
	return nil
}

// Address returns the address of the engine, with its port once it was started.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Incarnation returns the incarnation of the present or last life.
func (e *Engine) Incarnation() fleet.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Inventory returns the engine's own account of its memory, a zero one while it is not running.
func (e *Engine) Inventory() fleet.Inventory {
	e.mu.Lock()
	p := e.current
	e.mu.Unlock()
	if p == nil {
		return fleet.Inventory{}
	}
	return p.inventory()
}

// Crash ends the process: connections are reset and everything in memory is lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		e.end(e.current)
	}
}

// CrashFor crashes and starts again after a time.
func (e *Engine) CrashFor(d time.Duration) {
	e.Crash()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart = time.AfterFunc(d, func() { _ = e.Start() })
}

// crashed ends one life, if it is still the present one.
func (e *Engine) crashed(p *process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == p {
		e.end(p)
	}
}

// end is called with the engine locked.
func (e *Engine) end(p *process) {
	e.current = nil
	p.life.Abort()
	e.past = append(e.past, p.life)
	e.checkpoints.forgetMemory()
	e.settings.History.Add(history.BackendStopped{Backend: e.settings.ID, Incarnation: p.incarnation})
}

// Leave tells the entry hosts that the engine takes no more work.
func (e *Engine) Leave() error {
	return backend.LeaveAny(e.settings.Network, e.settings.Entries,
		wire.Leave{ID: e.settings.ID, Incarnation: e.Incarnation()})
}

// Reclaim takes the engine's host away: it leaves, and after the notice its process ends.
func (e *Engine) Reclaim(ctx context.Context, notice time.Duration) error {
	err := e.Leave()
	e.mu.Lock()
	if e.current != nil {
		e.current.silence()
	}
	e.mu.Unlock()
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	e.Crash()
	return err
}

// Close ends the process and waits for all its goroutines.
func (e *Engine) Close() error {
	e.Crash()
	e.mu.Lock()
	if e.restart != nil {
		e.restart.Stop()
	}
	past := e.past
	e.past = nil
	e.mu.Unlock()
	var errs []error
	for _, l := range past {
		errs = append(errs, l.Wait())
	}
	return errors.Join(errs...)
}

// handle is the engine's HTTP interface.
func (p *process) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if f := p.engine.Faults.Get(); path != "/lab/faults" && path != "/lab/crash" {
		if f.Mute {
			<-p.ctx.Done()
			return
		}
	}
	switch {
	case path == "/v1/completions" && ctx.IsPost():
		p.completions(ctx)
	case path == "/v1/cancel" && ctx.IsPost():
		p.cancelRequest(ctx)
	case path == "/v1/inventory" && ctx.IsGet():
		backend.WriteJSON(ctx, fasthttp.StatusOK, p.inventory())
	case path == "/v1/orders" && ctx.IsPost():
		p.order(ctx)
	case path == "/lab/faults":
		p.engine.Faults.Handle(ctx)
	case path == "/lab/crash" && ctx.IsPost():
		restart := ctx.QueryArgs().GetUintOrZero("restart-ms")
		if restart > 0 {
			p.engine.CrashFor(time.Duration(restart) * time.Millisecond)
		} else {
			p.engine.Crash()
		}
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}
