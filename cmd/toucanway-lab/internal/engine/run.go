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

// refusal is an engine's reason not to do what it is asked; nothing was run.
type refusal struct {
	status int
	reason string
}

func (r *refusal) Error() string { return r.reason }

const reasonStaleFence = "stale-fence"

// statusCancelled answers a request that was cancelled before its turn.
const statusCancelled = 499

var errCrashed = errors.New("process crashed")

// run is one request in the queue or the batch.
type run struct {
	id       fleet.RequestID
	target   fleet.Target
	prompt   string
	chat     bool
	priority int
	seq      uint64
	// from and length are the first token to generate and the end of the answer.
	from, length int
	cached       fleet.Tokens
	memory       fleet.Bytes
	admitted     bool
	entered      time.Time
	turn         chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
}

// enter queues a run, or starts it at once when a slot is free; it fails when the target is not ready.
func (p *process) enter(r *run, fence fleet.Fence) error {
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
	r.entered = time.Now()
	r.turn = make(chan struct{})
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

// admit gives free slots to the runs whose turn it is; it is called with the process locked.
func (p *process) admit() {
	for p.running < p.settings.Slots && len(p.waiting) > 0 {
		r := p.waiting[0]
		if !p.take(r.memory) {
			return
		}
		p.waiting = p.waiting[1:]
		p.running++
		r.admitted = true
		r.cached = p.prefix.use(r.target, r.prompt)
		close(r.turn)
	}
}

// leave removes a run that ended and frees what it held.
func (p *process) leave(r *run) {
	r.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runs, r)
	if r.admitted {
		p.running--
		p.used -= r.memory
	} else {
		p.waiting = slices.DeleteFunc(p.waiting, func(o *run) bool { return o == r })
	}
	if m := p.models[r.target.Model]; m != nil {
		m.runs--
	}
	if a := p.adapters[r.target]; a != nil {
		a.runs--
	}
	p.last = r
	p.admit()
	p.signal()
}

// wait waits for the run's turn and records that it runs.
func (p *process) wait(r *run) error {
	select {
	case <-r.turn:
	case <-r.ctx.Done():
		return &refusal{status: statusCancelled, reason: "cancelled"}
	}
	p.settings.History.Add(history.RequestRun{
		Request: r.id, Key: history.Key(tokens.Key(r.prompt)), Backend: p.settings.ID, Incarnation: p.incarnation,
		Waited: time.Since(r.entered), Resumed: r.from > 0,
	})
	f := p.engine.Faults.Get()
	if f.CrashOnPrompt != "" && strings.Contains(r.prompt, f.CrashOnPrompt) {
		p.engine.End(p.life)
		return errCrashed
	}
	return pause.For(r.ctx, f.Late)
}

// generate emits the tokens of an answer in their time.
func (p *process) generate(r *run, emit func(index int) error) error {
	prefill := tokens.Count(r.prompt) + fleet.Tokens(r.from) - r.cached
	delay := time.Duration(prefill) * p.settings.PrefillPerToken
	for i := r.from; i < r.length; i++ {
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
		delay = p.interval()
	}
	return nil
}

// interval returns the time between two tokens of one request at the present size of the batch.
func (p *process) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	growth := 1 + p.settings.BatchGrowth*float64(max(p.running-1, 0))
	return time.Duration(float64(p.settings.TokenInterval) * growth)
}

// shown returns the run whose answer is sent to r: another one under the swap fault, r itself otherwise.
func (p *process) shown(r *run) *run {
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
		other = p.last
	}
	if other == nil {
		return r
	}
	return other
}

// find returns the run of a request, nil if there is none.
func (p *process) find(id fleet.RequestID) *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.runs {
		if r.id == id {
			return r
		}
	}
	return nil
}
