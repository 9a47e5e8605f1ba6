package engine

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/core/fleet"
	"toucanway/core/pause"
)

// refusal is the error for a request or order that the engine rejects without running it.
type refusal struct {
	status int
	reason string
}

func (r *refusal) Error() string { return r.reason }

const reasonStaleFence = "stale-fence"

// statusCancelled is the status of a request that was cancelled before it got a slot.
const statusCancelled = 499

var errCrashed = errors.New("process crashed")

// run is one request that waits for a slot or runs in the batch.
type run struct {
	id       fleet.RequestID
	target   fleet.Target
	prompt   string
	chat     bool
	priority int
	seq      uint64
	// resumeFrom is the index of the first token to generate, and length the length of the complete answer in tokens.
	resumeFrom, length int
	cachedTokens       fleet.Tokens
	memory             fleet.Bytes
	admitted           bool
	queuedAt           time.Time
	slotGranted        chan struct{}
	ctx                context.Context
	cancel             context.CancelFunc
}

// enqueue queues a run and admits it at once when a slot is free. It refuses the run when the fencing token is stale, the target
// is not loaded, or the queue is full.
func (p *process) enqueue(r *run, fence fleet.Fence) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checkFence(fence) {
		return &refusal{status: fasthttp.StatusConflict, reason: reasonStaleFence}
	}
	m := p.models[r.target.Model]
	if m == nil || m.State != fleet.ReplicaReady {
		return &refusal{status: fasthttp.StatusNotFound, reason: "model-not-loaded"}
	}
	a := p.adapters[r.target]
	if r.target.Adapter != "" && (a == nil || !a.ready || a.unloading) {
		return &refusal{status: fasthttp.StatusNotFound, reason: "adapter-not-loaded"}
	}
	if len(p.waiting) >= p.settings.MaxQueue {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "queue-full"}
	}
	m.runs++
	if a != nil {
		a.runs++
	}
	p.runSeq++
	r.seq = p.runSeq
	r.queuedAt = time.Now()
	r.slotGranted = make(chan struct{})
	r.ctx, r.cancel = context.WithCancel(p.ctx)
	spec := p.settings.model(r.target.Model)
	r.memory = spec.KVPerToken * fleet.Bytes(int(tokens.Count(r.prompt))+r.length)
	p.runs[r] = struct{}{}
	i, _ := slices.BinarySearchFunc(p.waiting, r, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
	})
	p.waiting = slices.Insert(p.waiting, i, r)
	p.admit()
	return nil
}

// admit gives free slots to waiting runs in queue order, and stops at a run whose memory is refused. It is called with p.mu
// locked.
func (p *process) admit() {
	for p.running < p.settings.Slots && len(p.waiting) > 0 {
		r := p.waiting[0]
		if !p.allocate(r.memory) {
			return
		}
		p.waiting = p.waiting[1:]
		p.running++
		r.admitted = true
		r.cachedTokens = p.prefix.lookupAndInsert(r.target, r.prompt)
		close(r.slotGranted)
	}
}

// remove removes a run that ended, frees its slot and memory, and admits waiting runs.
func (p *process) remove(r *run) {
	r.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runs, r)
	if r.admitted {
		p.running--
		p.usedMemory -= r.memory
	} else {
		p.waiting = slices.DeleteFunc(p.waiting, func(o *run) bool { return o == r })
	}
	if m := p.models[r.target.Model]; m != nil {
		m.runs--
	}
	if a := p.adapters[r.target]; a != nil {
		a.runs--
	}
	p.lastEnded = r
	p.admit()
	p.signalRunEnded()
}

// waitForSlot waits until the run is admitted and records it as started. It applies the faults CrashOnPrompt and Late.
func (p *process) waitForSlot(r *run) error {
	select {
	case <-r.slotGranted:
	case <-r.ctx.Done():
		return &refusal{status: statusCancelled, reason: "cancelled"}
	}
	p.settings.History.Add(history.RequestRun{
		Request: r.id, Key: history.Key(tokens.Key(r.prompt)), Backend: p.settings.ID, Incarnation: p.incarnation,
		Waited: time.Since(r.queuedAt), Resumed: r.resumeFrom > 0,
	})
	f := p.engine.Faults.Get()
	if f.CrashOnPrompt != "" && strings.Contains(r.prompt, f.CrashOnPrompt) {
		p.engine.CrashInstance(p.instance)
		return errCrashed
	}
	return pause.For(r.ctx, f.Late)
}

// generate calls emit for each token of the answer, after the simulated prefill or decode time. Under the mute fault it blocks
// until the run is cancelled.
func (p *process) generate(r *run, emit func(index int) error) error {
	prefill := tokens.Count(r.prompt) + fleet.Tokens(r.resumeFrom) - r.cachedTokens
	delay := time.Duration(prefill) * p.settings.PrefillPerToken
	for i := r.resumeFrom; i < r.length; i++ {
		f := p.engine.Faults.Get()
		if err := pause.For(r.ctx, f.Scale(delay)); err != nil {
			return err
		}
		if p.engine.Faults.Get().Mute {
			<-r.ctx.Done()
			return r.ctx.Err()
		}
		if err := emit(i); err != nil {
			return err
		}
		delay = p.tokenInterval()
	}
	return nil
}

// tokenInterval returns the time between two tokens of one request at the current batch size.
func (p *process) tokenInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	growth := 1 + p.settings.BatchGrowth*float64(max(p.running-1, 0))
	return time.Duration(float64(p.settings.TokenInterval) * growth)
}

// runToAnswer returns the run whose answer is sent for r: r itself or, under the swap fault, another run.
func (p *process) runToAnswer(r *run) *run {
	if !p.engine.Faults.Get().Swap {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var other *run
	for o := range p.runs {
		if o != r && (other == nil || o.seq < other.seq) {
			other = o
		}
	}
	if other == nil {
		other = p.lastEnded
	}
	if other == nil {
		return r
	}
	return other
}

// findRun returns the run with a request id, nil if there is none.
func (p *process) findRun(id fleet.RequestID) *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.runs {
		if r.id == id {
			return r
		}
	}
	return nil
}
