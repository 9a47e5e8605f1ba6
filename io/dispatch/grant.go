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
	// releaseTimeout bounds a release. If it is lost, the owner's next inventory frees the grant.
	releaseTimeout = time.Second
	// acquireMargin is the part of a request's deadline that is reserved for the transfer of the grant from its owner.
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

// acquireRequest returns the message that asks the owner of a backend server for a grant.
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

// callAcquire asks the owner for a grant, with a call to another host unless this host is the owner.
func (d *Dispatcher) callAcquire(ctx context.Context, o ownerAddress, req *capacity.Acquire) (*hosts.AcquireResponse, error) {
	if o.local {
		return d.cfg.Owner.Acquire(ctx, req)
	}
	return hosts.Call[capacity.Acquire, hosts.AcquireResponse](ctx, d.cfg.Client, o.address, hosts.ProcedureAcquire, req)
}

// release reports to the owner the dispatch or the outcome of a grant's request.
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
			d.metrics.releasesLost.With().Inc(1)
		}
	})
}

// cancelAtEngine asks an engine to cancel a request, since not every engine watches for closed connections. confirmed is the
// outcome of the grant if the engine confirms the cancellation; otherwise the outcome is in doubt.
func (d *Dispatcher) cancelAtEngine(at *attempt, id fleet.RequestID, confirmed capacity.Outcome) {
	d.jobs.Run(func(ctx context.Context) {
		outcome := confirmed
		if err := d.cfg.Engines.Cancel(ctx, at.backend.Announcement.Address, id); err != nil {
			outcome = capacity.OutcomeInDoubt
		}
		d.release(at, outcome, fleet.Tokens(at.tokens))
	})
}
