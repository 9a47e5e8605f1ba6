package dispatch

import (
	"context"
	"sync"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/fleet"
	"toucanway/io/hosts"
)

const (
	// maxPreemptions bounds how often a request is preempted, so that long work completes.
	maxPreemptions = 2
	preemptTimeout = time.Second
)

// runningAttempts holds the attempts of this host that have their first token, by their requests. No other lock is taken while mu
// is held.
type runningAttempts struct {
	mu        sync.Mutex
	attempts  map[fleet.RequestID]*attempt
	preempted map[fleet.RequestID]bool
}

func (r *runningAttempts) add(id fleet.RequestID, at *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts, r.preempted = map[fleet.RequestID]*attempt{}, map[fleet.RequestID]bool{}
	}
	r.attempts[id] = at
}

func (r *runningAttempts) remove(id fleet.RequestID, at *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[id] == at {
		delete(r.attempts, id)
		delete(r.preempted, id)
	}
}

// preempt ends the stream of the attempt that runs under a grant.
func (r *runningAttempts) preempt(g capacity.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.attempts[g.Request]
	if at == nil || at.grant.ID != g.ID || at.grant.Fence != g.Fence {
		return
	}
	r.preempted[g.Request] = true
	at.cancel()
}

// wasPreempted reports whether preempt ended a request's stream since the last call, and resets that.
func (r *runningAttempts) wasPreempted(id fleet.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.preempted[id]
	delete(r.preempted, id)
	return was
}

// Register adds the dispatcher's procedures to a server.
func (d *Dispatcher) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedurePreempt, func(_ context.Context, _ fleet.HostID, req *hosts.PreemptRequest) (*hosts.PreemptResponse, error) {
		d.Preempt(req.Grant)
		return &hosts.PreemptResponse{}, nil
	})
}

// Preempt interrupts the request of a grant in favour of short work; the request resumes under a new grant.
func (d *Dispatcher) Preempt(g capacity.Grant) { d.running.preempt(g) }

// RequestPreemption asks another host to preempt the request of a grant. If the call fails, the request continues.
func (d *Dispatcher) RequestPreemption(address string, g capacity.Grant) {
	d.jobs.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, preemptTimeout)
		defer cancel()
		_, _ = hosts.Call[hosts.PreemptRequest, hosts.PreemptResponse](ctx, d.cfg.Client, address, hosts.ProcedurePreempt,
			&hosts.PreemptRequest{Grant: g})
	})
}
