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

// Engine is a simulated engine across restarts of its process. It is safe for concurrent use.
type Engine struct {
	backend.Supervisor
	settings Settings
	// Faults are kept across restarts.
	Faults backend.FaultSwitches

	mu          sync.Mutex
	current     *process
	checkpoints checkpoints
}

// New returns an engine that is not started.
func New(s Settings) *Engine {
	s = s.withDefaults()
	e := &Engine{settings: s, checkpoints: newCheckpoints(s.Tiers, s.MemoryCheckpoints, s.DiskCheckpoints)}
	e.ID, e.Network, e.ListenAddress, e.FirstIncarnation, e.History = s.ID, s.Network, s.Address, s.Incarnation, s.History
	e.OnStart = func(instance *backend.Instance) {
		p := newProcess(e, instance)
		e.mu.Lock()
		e.current = p
		e.mu.Unlock()
		p.serveAndAnnounce()
	}
	e.OnStop = func(*backend.Instance) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.current = nil
		e.checkpoints.dropMemory()
	}
	return e
}

// Inventory returns the engine's inventory, the zero value while it is not running.
func (e *Engine) Inventory() fleet.Inventory {
	e.mu.Lock()
	p := e.current
	e.mu.Unlock()
	if p == nil {
		return fleet.Inventory{}
	}
	return p.inventory()
}

// Leave tells the entry hosts that the engine accepts no more work.
func (e *Engine) Leave() error {
	return backend.PostLeave(e.settings.Network, e.settings.Entries,
		wire.Leave{ID: e.settings.ID, Incarnation: e.Incarnation()})
}

// Reclaim simulates the loss of the engine's machine, as with spot instances: the engine leaves and stops announcing itself,
// and its process ends after the notice period.
func (e *Engine) Reclaim(ctx context.Context, notice time.Duration) error {
	err := e.Leave()
	e.mu.Lock()
	if e.current != nil {
		e.current.stopAnnouncing()
	}
	e.mu.Unlock()
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	e.Crash()
	return err
}

// handle serves the engine's HTTP API.
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
		p.handleCompletion(ctx, false)
	case path == "/v1/chat/completions" && ctx.IsPost():
		p.handleCompletion(ctx, true)
	case path == "/v1/cancel" && ctx.IsPost():
		p.handleCancel(ctx)
	case path == "/v1/inventory" && ctx.IsGet():
		// An owner sends its fencing token with the read, so that orders with an older token are refused from then on.
		// handleInventory refuses a read with a stale token if the engine checks tokens.
		if fence, err := headerNumber(ctx, wire.HeaderFence, 0); err == nil {
			p.recordFence(fleet.Fence(fence))
		}
		p.handleInventory(ctx)
	case path == "/v1/orders" && ctx.IsPost():
		p.handleOrder(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}
