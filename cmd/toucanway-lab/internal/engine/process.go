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

// process is the in-memory state of one incarnation of an engine.
type process struct {
	engine         *Engine
	settings       *Settings
	incarnation    fleet.Incarnation
	instance       *backend.Instance
	ctx            context.Context
	cancelAnnounce context.CancelFunc
	announceCtx    context.Context

	mu         sync.Mutex
	random     *rand.Rand
	usedMemory fleet.Bytes
	peakMemory fleet.Bytes
	seq        uint64
	fence      fleet.Fence
	models     map[fleet.ModelID]*loadedModel
	adapters   map[fleet.Target]*loadedAdapter
	orders     map[fleet.OrderID]*orderRun
	// endedOrders holds the ids of ended orders, oldest first.
	endedOrders []fleet.OrderID
	runs        map[*run]struct{}
	// running counts the runs that hold a slot; waiting holds the other runs by priority, then by arrival.
	running   int
	waiting   []*run
	runSeq    uint64
	lastEnded *run
	prefix    prefixCache
	// runEnded is closed and replaced whenever a run ends.
	runEnded chan struct{}
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

func newProcess(e *Engine, instance *backend.Instance) *process {
	p := &process{
		engine: e, settings: &e.settings, incarnation: instance.Incarnation(), instance: instance, ctx: instance.Context(),
		random:   rand.New(rand.NewPCG(e.settings.Seed, uint64(instance.Incarnation()))),
		models:   map[fleet.ModelID]*loadedModel{},
		adapters: map[fleet.Target]*loadedAdapter{},
		orders:   map[fleet.OrderID]*orderRun{},
		runs:     map[*run]struct{}{},
		prefix:   newPrefixCache(e.settings.PrefixBlocks, len(e.settings.Entries)),
		runEnded: make(chan struct{}),
	}
	p.announceCtx, p.cancelAnnounce = context.WithCancel(p.ctx)
	return p
}

// serveAndAnnounce starts the HTTP server and the announcements to all entry hosts.
func (p *process) serveAndAnnounce() {
	p.instance.Serve(p.handle)
	for i, address := range p.settings.Entries {
		p.announce(address, i)
	}
}

// stopAnnouncing stops the announcements; the process still serves requests.
func (p *process) stopAnnouncing() { p.cancelAnnounce() }

// allocate adds to the memory in use. It returns false when the memory would be exceeded and RefuseOvercommit is set. It is
// called with p.mu locked.
func (p *process) allocate(n fleet.Bytes) bool {
	if p.settings.RefuseOvercommit && p.usedMemory+n > p.settings.Memory {
		return false
	}
	p.usedMemory += n
	if p.usedMemory > p.peakMemory {
		p.peakMemory = p.usedMemory
		p.settings.History.Add(history.MemoryPeak{
			Backend: p.settings.ID, Incarnation: p.incarnation, Used: p.usedMemory, Total: p.settings.Memory,
		})
	}
	return true
}

// signalRunEnded wakes the orders that wait for runs to end. It is called with p.mu locked.
func (p *process) signalRunEnded() {
	close(p.runEnded)
	p.runEnded = make(chan struct{})
}

// checkFence reports whether a fencing token is accepted. If the engine checks tokens, it refuses one that is older than the
// newest seen and records a newer one. It is called with p.mu locked.
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

// recordFence records a newer fencing token.
func (p *process) recordFence(f fleet.Fence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkFence(f)
}

// handleInventory answers with the inventory. A fencing token in the request makes older ones stale, so that no order of an
// earlier owner is executed afterwards.
func (p *process) handleInventory(ctx *fasthttp.RequestCtx) {
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
		writeRefusal(ctx, "", refused)
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
