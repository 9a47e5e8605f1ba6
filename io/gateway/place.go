package gateway

import (
	"context"
	"time"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// askLeader asks the leader to which of several servers a long prompt should go; it returns "" if this host has to choose. v.mu
// is held, but released during the call.
func (v *View) askLeader(ctx context.Context, r *balance.Request, instances []*registry.Instance) fleet.BackendID {
	now := time.Now()
	if len(instances) < 2 || !r.LongPrompt() || now.Before(v.placeNotBefore) || v.cfg.Client.Leader() == "" {
		return ""
	}
	req := controlapi.NewPlaceRequest(v.balancer.Candidates(now, r, instances))
	v.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, v.placeTimeout)
	res, err := controlapi.Call[controlapi.PlaceRequest, controlapi.PlaceResponse](call, v.cfg.Client, controlapi.ProcedurePlace, 0, req)
	cancel()
	v.mu.Lock()
	if ctx.Err() != nil {
		return ""
	}
	if err != nil {
		// followLeader logs the lost contact, and the log line of the request shows that this host has chosen.
		v.placeNotBefore = time.Now().Add(placeRetryDelay)
		return ""
	}
	return res.Instance
}
