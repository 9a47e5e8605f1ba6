package engine

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
)

// Engine is a stand-in engine through all its lives. It is safe for concurrent use.
type Engine struct {
	backend.Lives
	settings Settings
	// Faults are kept across restarts.
	Faults backend.Switches

	mu          sync.Mutex
	current     *process
	checkpoints checkpoints
}

// New returns an engine that is not started.
func New(s Settings) *Engine {
	s = s.withDefaults()
	e := &Engine{settings: s, checkpoints: newCheckpoints(s.Tiers, s.MemoryCheckpoints, s.DiskCheckpoints)}
	e.ID, e.Network, e.Listen, e.First, e.History = s.ID, s.Network, s.Address, s.Incarnation, s.History
	e.Begun = func(l *backend.Life) {
		p := newProcess(e, l)
		e.mu.Lock()
		e.current = p
		e.mu.Unlock()
		p.begin()
	}
	e.Ended = func(*backend.Life) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.current = nil
		e.checkpoints.forgetMemory()
	}
	return e
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

// handle is the engine's HTTP interface.
func (p *process) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if p.engine.HandleLab(ctx, &p.engine.Faults) {
		return
	}
	if p.engine.Faults.Get().Mute {
		<-p.ctx.Done()
		return
	}
	switch {
	case path == "/v1/completions" && ctx.IsPost():
		p.completions(ctx, false)
	case path == "/v1/chat/completions" && ctx.IsPost():
		p.completions(ctx, true)
	case path == "/v1/cancel" && ctx.IsPost():
		p.cancelRequest(ctx)
	case path == "/v1/inventory" && ctx.IsGet():
		// An owner shows its fencing token here, so that older orders are refused from then on. A stale token reads as well.
		if fence, err := headerNumber(ctx, wire.HeaderFence, 0); err == nil {
			p.noteFence(fleet.Fence(fence))
		}
		p.showInventory(ctx)
	case path == "/v1/orders" && ctx.IsPost():
		p.order(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}
