package dispatch

import (
	"context"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/hosts"
)

const (
	// releaseTimeout bounds a release; a lost one is made good by the owner's next inventory.
	releaseTimeout = time.Second
	// acquireMargin is kept of a request's deadline for the way of the grant back from its owner.
	acquireMargin = 30 * time.Millisecond
)

// ownerAddress is the capacity owner of a backend server.
type ownerAddress struct {
	host    fleet.HostID
	address string
	local   bool
}

// ownerOf returns the owner of a backend server, or false while it has none.
func (d *Dispatcher) ownerOf(b control.Backend) (o ownerAddress, ok bool) {
	if b.Owner == d.cfg.Host {
		return ownerAddress{host: b.Owner, local: true}, true
	}
	d.cfg.Follower.Read(func(s *control.State) {
		if v, open := s.Session(b.Owner); open {
			o, ok = ownerAddress{host: b.Owner, address: v.Address}, true
		}
	})
	return o, ok
}

// acquireRequest describes the request to the owner of a backend server.
func (s *search) acquireRequest(b control.Backend, left time.Duration) *capacity.Acquire {
	a := s.a
	adapter, _ := a.doc.AdapterMemory(a.call.Target)
	if a.call.Target.Adapter == "" {
		adapter = 0
	}
	tokens := a.prompt + a.call.MaxTokens
	return &capacity.Acquire{
		Backend: b.Announcement.ID, Host: a.d.cfg.Host, Request: a.call.ID, Target: a.call.Target,
		Class: a.call.Identity.Class, Deadline: max(left-acquireMargin, time.Millisecond), Tenant: a.call.Identity.Tenant,
		Memory: fleet.Bytes(tokens) * a.model.KVBytesPerToken, Tokens: a.prompt + a.predicted.Mean, Long: a.predicted.Long,
		Alone: s.alone, AdapterMemory: adapter, Preemptible: s.preempted < maxPreemptions,
		Resumed: s.resume > 0 || s.preempted > 0,
	}
}

// callAcquire asks the owner for a grant, by a call to another host unless this one is the owner.
func (d *Dispatcher) callAcquire(ctx context.Context, o ownerAddress, req *capacity.Acquire) (*hosts.AcquireResponse, error) {
	if o.local {
		return d.cfg.Owner.Acquire(ctx, req)
	}
	return hosts.Call[capacity.Acquire, hosts.AcquireResponse](ctx, d.cfg.Client, o.address, hosts.ProcedureAcquire, req)
}

// release tells the owner how the use of a grant ended or that it began.
func (d *Dispatcher) release(at *attempt, outcome capacity.Outcome, tokens fleet.Tokens) {
	req := &hosts.ReleaseRequest{Releases: []capacity.Release{{
		Backend: at.grant.Backend, Fence: at.grant.Fence, ID: at.grant.ID, Host: d.cfg.Host, Outcome: outcome, Tokens: tokens,
	}}}
	if at.owner.local {
		d.cfg.Owner.Release(req)
		return
	}
	d.jobs.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		_, err := hosts.Call[hosts.ReleaseRequest, hosts.ReleaseResponse](ctx, d.cfg.Client, at.owner.address, hosts.ProcedureRelease, req)
		if err != nil {
			d.metrics.releaseLost.With().Inc(1)
		}
	})
}

// cancelAtEngine tells an engine that nobody waits for a request any more; closing its connection says the same to
// engines that watch it. done is the outcome of the grant once the engine confirmed it.
func (d *Dispatcher) cancelAtEngine(at *attempt, id fleet.RequestID, done capacity.Outcome) {
	d.jobs.Run(func(ctx context.Context) {
		outcome := done
		if err := d.cfg.Engines.Cancel(ctx, at.backend.Announcement.Address, id); err != nil {
			outcome = capacity.OutcomeInDoubt
		}
		d.release(at, outcome, fleet.Tokens(at.tokens))
	})
}
