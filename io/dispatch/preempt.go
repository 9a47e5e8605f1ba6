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
	// maxPreemptions bounds how often one request gives way, so that long work ends.
	maxPreemptions = 2
	preemptTimeout = time.Second
)

// running finds the attempts of this host that have their first token by their requests. Lock order: mu alone.
type running struct {
	mu        sync.Mutex
	attempts  map[fleet.RequestID]*attempt
	preempted map[fleet.RequestID]bool
}

func (r *running) add(id fleet.RequestID, at *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts, r.preempted = map[fleet.RequestID]*attempt{}, map[fleet.RequestID]bool{}
	}
	r.attempts[id] = at
}

func (r *running) remove(id fleet.RequestID, at *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[id] == at {
		delete(r.attempts, id)
		delete(r.preempted, id)
	}
}

// preempt ends the stream of the request that holds a grant.
func (r *running) preempt(g capacity.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.attempts[g.Request]
	if at == nil || at.grant.ID != g.ID || at.grant.Fence != g.Fence {
		return
	}
	r.preempted[g.Request] = true
	at.cancel()
}

// wasPreempted reports whether a request's stream was ended to give way, once.
func (r *running) wasPreempted(id fleet.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.preempted[id]
	delete(r.preempted, id)
	return was
}

// Register adds the procedures to a server.
func (d *Dispatcher) Register(srv *hosts.Server) {
	hosts.Handle(srv, hosts.ProcedurePreempt, func(_ context.Context, _ fleet.HostID, req *hosts.PreemptRequest) (*hosts.PreemptResponse, error) {
		d.Preempt(req.Grant)
		return &hosts.PreemptResponse{}, nil
	})
}

// Preempt has the request of a grant give way to short work; it resumes on a new grant.
func (d *Dispatcher) Preempt(g capacity.Grant) { d.running.preempt(g) }

// AskPreempt asks another host to have the request of a grant give way. Without an answer the request goes on.
func (d *Dispatcher) AskPreempt(address string, g capacity.Grant) {
	d.jobs.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, preemptTimeout)
		defer cancel()
		_, _ = hosts.Call[hosts.PreemptRequest, hosts.PreemptResponse](ctx, d.cfg.Client, address, hosts.ProcedurePreempt,
			&hosts.PreemptRequest{Grant: g})
	})
}
