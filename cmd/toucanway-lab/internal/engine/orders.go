package engine

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
	"toucanway/core/pause"
)

// maxEndedOrders bounds the ended orders whose answer is kept for a repeated order; the oldest is deleted first.
const maxEndedOrders = 1024

// maxOrderTime is the timeout of an order that has no deadline.
const maxOrderTime = 10 * time.Minute

// orderRun is one order that is being executed or has ended.
type orderRun struct {
	done   chan struct{}
	answer wire.OrderAnswer
}

// handleOrder executes an order and answers at its end. A repeated order gets the same answer and is not executed again.
func (p *process) handleOrder(ctx *fasthttp.RequestCtx) {
	var o fleet.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		writeRefusal(ctx, "", &refusal{status: fasthttp.StatusBadRequest, reason: err.Error()})
		return
	}
	answer := p.executeOnce(o)
	status := fasthttp.StatusOK
	if answer.Outcome == wire.OutcomeRefused {
		status = fasthttp.StatusConflict
	}
	backend.WriteJSON(ctx, status, answer)
}

// executeOnce executes an order once per order id and records its answer for repetitions.
func (p *process) executeOnce(o fleet.Order) wire.OrderAnswer {
	p.mu.Lock()
	if !p.checkFence(o.Fence) {
		p.mu.Unlock()
		return p.orderAnswer(o, &refusal{reason: reasonStaleFence})
	}
	if earlier, ok := p.orders[o.ID]; ok {
		p.mu.Unlock()
		select {
		case <-earlier.done:
			return earlier.answer
		case <-p.ctx.Done():
			return p.orderAnswer(o, errCrashed)
		}
	}
	r := &orderRun{done: make(chan struct{})}
	p.orders[o.ID] = r
	p.mu.Unlock()
	deadline := o.Deadline
	if deadline <= 0 {
		deadline = maxOrderTime
	}
	ctx, cancel := context.WithTimeout(p.ctx, deadline)
	defer cancel()
	answer := p.orderAnswer(o, p.execute(ctx, o))
	p.mu.Lock()
	defer p.mu.Unlock()
	r.answer = answer
	close(r.done)
	p.endedOrders = append(p.endedOrders, o.ID)
	if len(p.endedOrders) > maxEndedOrders {
		delete(p.orders, p.endedOrders[0])
		p.endedOrders = p.endedOrders[1:]
	}
	return answer
}

func (p *process) orderAnswer(o fleet.Order, err error) wire.OrderAnswer {
	var refused *refusal
	switch {
	case err == nil:
		return wire.OrderAnswer{Order: o.ID, Outcome: wire.OutcomeDone}
	case errors.As(err, &refused):
		p.settings.History.Add(history.OrderRefused{Order: o.ID, Backend: p.settings.ID, Reason: refused.reason})
		return wire.OrderAnswer{Order: o.ID, Outcome: wire.OutcomeRefused, Message: refused.reason}
	default:
		return wire.OrderAnswer{Order: o.ID, Outcome: wire.OutcomeFailed, Message: err.Error()}
	}
}

func (p *process) execute(ctx context.Context, o fleet.Order) error {
	switch o.Kind {
	case fleet.OrderLoad:
		return p.load(ctx, o)
	case fleet.OrderUnload:
		return p.unload(ctx, o.Target.Model)
	case fleet.OrderLoadAdapter:
		return p.loadAdapter(ctx, o)
	case fleet.OrderUnloadAdapter:
		return p.unloadAdapter(ctx, o.Target)
	case fleet.OrderRole:
		return p.setRole(o)
	default:
		return &refusal{reason: "unknown-order-kind"}
	}
}

func (p *process) load(ctx context.Context, o fleet.Order) error {
	id := o.Target.Model
	p.mu.Lock()
	if m := p.models[id]; m != nil {
		same, state := m.Version == o.Version, m.State
		p.mu.Unlock()
		switch {
		case state != fleet.ReplicaReady:
			return &refusal{reason: "busy"}
		case same:
			return nil
		}
		if err := p.unload(ctx, id); err != nil {
			return err
		}
		p.mu.Lock()
	}
	weights := p.weights(o)
	if !p.allocate(weights) {
		p.mu.Unlock()
		return &refusal{reason: "memory-exceeded"}
	}
	m := &loadedModel{LoadedModel: fleet.LoadedModel{
		Model: id, Version: o.Version, State: fleet.ReplicaLoading, Memory: weights, Role: o.Role, Order: o.ID,
	}}
	p.models[id] = m
	p.settings.History.Add(history.LoadStarted{
		Order: o.ID, Model: id, Backend: p.settings.ID, Incarnation: p.incarnation,
	})
	p.mu.Unlock()

	err := p.transferWeights(ctx, id)
	if err == nil {
		p.engine.cacheCheckpoint(id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		delete(p.models, id)
		p.usedMemory -= weights
	} else {
		m.State = fleet.ReplicaReady
	}
	if p.ctx.Err() == nil {
		p.settings.History.Add(history.LoadEnded{
			Order: o.ID, Model: id, Backend: p.settings.ID, Incarnation: p.incarnation, Ready: err == nil,
		})
	}
	return err
}

// weights returns the memory of a model: as declared in the engine's settings, else as given in the order, else the default.
func (p *process) weights(o fleet.Order) fleet.Bytes {
	m, ok := p.settings.Models[o.Target.Model]
	switch {
	case ok:
		return m.Weights
	case o.Memory > 0:
		return o.Memory
	default:
		return DefaultModel().Weights
	}
}

// transferWeights waits for the time of a load from the tier that holds the checkpoint. With CrashOnLoad the process crashes
// after half of that time.
func (p *process) transferWeights(ctx context.Context, id fleet.ModelID) error {
	tier := p.engine.tierOf(id)
	f := p.engine.Faults.Get()
	work := f.Scale(p.settings.model(id).LoadTimes[tier])
	if f.CrashOnLoad {
		if err := pause.For(ctx, work/2); err != nil {
			return err
		}
		f.CrashOnLoad = false
		p.engine.Faults.Set(f)
		p.engine.CrashInstance(p.instance)
		return errCrashed
	}
	if tier == fleet.TierRemote {
		return p.settings.Store.Load(ctx, work)
	}
	return pause.For(ctx, work)
}

// unload waits until the runs of the model have ended, then frees its memory and the memory of its adapters.
func (p *process) unload(ctx context.Context, id fleet.ModelID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[id]
	if m == nil {
		return nil
	}
	if m.State != fleet.ReplicaReady {
		return &refusal{reason: "busy"}
	}
	m.State = fleet.ReplicaUnloading
	if err := p.waitUntil(ctx, func() bool { return m.runs == 0 }); err != nil {
		m.State = fleet.ReplicaReady
		return err
	}
	delete(p.models, id)
	p.usedMemory -= m.Memory
	for t, a := range p.adapters {
		if t.Model == id {
			delete(p.adapters, t)
			p.usedMemory -= a.Memory
		}
	}
	p.prefix.evictTarget(fleet.Target{Model: id})
	p.settings.History.Add(history.Unloaded{Model: id, Backend: p.settings.ID, Incarnation: p.incarnation})
	p.admit()
	return nil
}

// waitUntil waits until the condition holds, which it checks whenever a run ends. It is called with p.mu locked and unlocks it
// while it waits.
func (p *process) waitUntil(ctx context.Context, done func() bool) error {
	for !done() {
		runEnded := p.runEnded
		p.mu.Unlock()
		var err error
		select {
		case <-runEnded:
		case <-ctx.Done():
			err = ctx.Err()
		}
		p.mu.Lock()
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (p *process) loadAdapter(ctx context.Context, o fleet.Order) error {
	t := o.Target
	p.mu.Lock()
	if m := p.models[t.Model]; m == nil || m.State != fleet.ReplicaReady {
		p.mu.Unlock()
		return &refusal{reason: "model-not-loaded"}
	}
	if a := p.adapters[t]; a != nil {
		ready := a.ready && !a.unloading
		p.mu.Unlock()
		if !ready {
			return &refusal{reason: "busy"}
		}
		return nil
	}
	memory := p.settings.adapterMemory(t)
	if !p.allocate(memory) {
		p.mu.Unlock()
		return &refusal{reason: "memory-exceeded"}
	}
	a := &loadedAdapter{LoadedAdapter: fleet.LoadedAdapter{Target: t, Memory: memory}}
	p.adapters[t] = a
	spread := p.settings.AdapterLoadMax - p.settings.AdapterLoadMin
	work := p.settings.AdapterLoadMin + time.Duration(p.random.Int64N(int64(spread)+1))
	p.mu.Unlock()

	err := p.settings.Store.LoadAdapter(ctx, p.engine.Faults.Get().Scale(work))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.adapters[t] != a {
		return &refusal{reason: "model-not-loaded"}
	}
	if err != nil {
		delete(p.adapters, t)
		p.usedMemory -= memory
		return err
	}
	a.ready = true
	return nil
}

func (p *process) unloadAdapter(ctx context.Context, t fleet.Target) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.adapters[t]
	if a == nil {
		return nil
	}
	if !a.ready || a.unloading {
		return &refusal{reason: "busy"}
	}
	a.unloading = true
	if err := p.waitUntil(ctx, func() bool { return a.runs == 0 }); err != nil {
		a.unloading = false
		return err
	}
	if p.adapters[t] == a {
		delete(p.adapters, t)
		p.usedMemory -= a.Memory
		p.prefix.evictTarget(t)
		p.admit()
	}
	return nil
}

func (p *process) setRole(o fleet.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[o.Target.Model]
	if m == nil || m.State != fleet.ReplicaReady {
		return &refusal{reason: "model-not-loaded"}
	}
	m.Role = o.Role
	return nil
}
