package gateway

import (
	"context"
	"time"

	"toucanway/core/balance"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// askLeader asks the leader to which of several servers a request should go; it returns nil if the leader doesn't answer. It waits longer
// if the request needs a grant, without which it may have to be refused. v.mu is held, but released during the call.
func (v *View) askLeader(
	ctx context.Context, now time.Time, r *balance.Request, instances []*registry.Instance, candidates []balance.Candidate, needsGrant bool,
) *controlapi.PlaceResponse {
	if now.Before(v.placeNotBefore) || v.cfg.Client.Leader() == "" {
		return nil
	}
	req := controlapi.NewPlaceRequest(candidates)
	req.MaxDelay = max(r.LatestStart.Sub(now), 0)
	for i, in := range instances {
		if l := v.rateLimit(in); l.Named {
			req.Candidates[i].Limit, req.Candidates[i].Incarnation = l, in.Incarnation
		}
	}
	timeout := v.placeTimeout
	if needsGrant {
		timeout = max(timeout, min(req.MaxDelay, grantTimeout))
	}
	v.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, timeout)
	res, err := controlapi.Call[controlapi.PlaceRequest, controlapi.PlaceResponse](call, v.cfg.Client, controlapi.ProcedurePlace, 0, req)
	cancel()
	v.mu.Lock()
	if err != nil {
		if ctx.Err() == nil {
			// followLeader logs the lost contact, and the log line of the request shows that this host has chosen.
			v.placeNotBefore = time.Now().Add(placeRetryDelay)
		}
		return nil
	}
	return res
}
