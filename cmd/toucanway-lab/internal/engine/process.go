package engine

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
)

// process is one life of an engine: what it holds in memory.
type process struct {
	engine      *Engine
	settings    *Settings
	incarnation fleet.Incarnation
	life        *backend.Life
	ctx         context.Context
	quiet       context.CancelFunc
	quietCtx    context.Context

	mu       sync.Mutex
	random   *rand.Rand
	used     fleet.Bytes
	peak     fleet.Bytes
	seq      uint64
	fence    fleet.Fence
	models   map[fleet.ModelID]*loadedModel
	adapters map[fleet.Target]*loadedAdapter
	orders   map[fleet.OrderID]*orderRun
	// finished lists the ids of ended orders, oldest first.
	finished []fleet.OrderID
	runs     map[*run]struct{}
	// running counts the runs that hold a slot; waiting holds the others in the order of their turn.
	running int
	waiting []*run
	runSeq  uint64
	last    *run
	prefix  prefixCache
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
}

type loadedModel struct {
	fleet.LoadedModel
	// runs counts the requests of the model and its adapters that are queued or running.
	runs int
}

type loadedAdapter struct {
	fleet.LoadedAdapter
	ready     bool
	unloading bool
	runs      int
}

func newProcess(e *Engine, life *backend.Life) *process {
	p := &process{
		engine: e, settings: &e.settings, incarnation: life.Incarnation(), life: life, ctx: life.Context(),
		random:   rand.New(rand.NewPCG(e.settings.Seed, uint64(life.Incarnation()))),
		models:   map[fleet.ModelID]*loadedModel{},
		adapters: map[fleet.Target]*loadedAdapter{},
		orders:   map[fleet.OrderID]*orderRun{},
		runs:     map[*run]struct{}{},
		prefix:   newPrefixCache(e.settings.PrefixBlocks, len(e.settings.Entries)),
		changed:  make(chan struct{}),
	}
	p.quietCtx, p.quiet = context.WithCancel(p.ctx)
	return p
}

// begin serves and announces.
func (p *process) begin() {
	p.life.Serve(p.handle)
	for i, address := range p.settings.Entries {
		p.announce(address, i)
	}
}

// silence ends the announcements of a life that goes on serving.
func (p *process) silence() { p.quiet() }

// take adds to the memory in use, or returns false when it is refused; it is called with the process locked.
func (p *process) take(n fleet.Bytes) bool {
	if p.settings.RefuseOvercommit && p.used+n > p.settings.Memory {
		return false
	}
	p.used += n
	if p.used > p.peak {
		p.peak = p.used
		p.settings.History.Add(history.MemoryPeak{
			Backend: p.settings.ID, Incarnation: p.incarnation, Used: p.used, Total: p.settings.Memory,
		})
	}
	return true
}

// signal wakes the orders that wait for runs to end; it is called with the process locked.
func (p *process) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// checkFence refuses a token older than the newest one seen, if the engine checks them.
func (p *process) checkFence(f fleet.Fence) bool {
	if !p.settings.ChecksFence {
		return true
	}
	if f < p.fence {
		return false
	}
	p.fence = f
	return true
}

// noteFence takes note of a newer token.
func (p *process) noteFence(f fleet.Fence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkFence(f)
}

// showInventory answers with the inventory. A fencing token that comes with the question makes older ones stale, so that
// no order of an earlier owner is carried out after it.
func (p *process) showInventory(ctx *fasthttp.RequestCtx) {
	fence, err := headerNumber(ctx, wire.HeaderFence, 0)
	if err == nil && len(ctx.Request.Header.Peek(wire.HeaderFence)) > 0 {
		p.mu.Lock()
		if !p.checkFence(fleet.Fence(fence)) {
			err = &refusal{status: fasthttp.StatusConflict, reason: reasonStaleFence}
		}
		p.mu.Unlock()
	}
	var refused *refusal
	if errors.As(err, &refused) {
		refuse(ctx, "", refused)
		return
	}
	backend.WriteJSON(ctx, fasthttp.StatusOK, p.inventory())
}

func (p *process) inventory() fleet.Inventory {
	cached := p.engine.cachedCheckpoints()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	inv := fleet.Inventory{
		Backend: p.settings.ID, Incarnation: p.incarnation, Seq: p.seq, Memory: p.settings.Memory,
		Cached: cached, Fence: p.fence,
	}
	for _, id := range slices.Sorted(maps.Keys(p.models)) {
		inv.Models = append(inv.Models, p.models[id].LoadedModel)
	}
	for _, a := range p.adapters {
		inv.Adapters = append(inv.Adapters, a.LoadedAdapter)
	}
	slices.SortFunc(inv.Adapters, func(a, b fleet.LoadedAdapter) int {
		return cmp.Compare(a.Target.String(), b.Target.String())
	})
	for r := range p.runs {
		inv.Running = append(inv.Running, fleet.RunningRequest{Request: r.id, Memory: r.memory})
	}
	slices.SortFunc(inv.Running, func(a, b fleet.RunningRequest) int { return cmp.Compare(a.Request, b.Request) })
	return inv
}
