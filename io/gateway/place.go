package gateway

import (
	"context"
	"time"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
)

// place asks the leader which of several servers a long prompt goes to; it returns nothing where this host has to choose. v.mu is
// held and let go of meanwhile.
func (v *View) place(ctx context.Context, r *balance.Request, options []*registry.Instance) fleet.BackendID {
	now := time.Now()
	if len(options) < 2 || !r.LongPrompt() || now.Before(v.placeFrom) || v.cfg.Client.Leader() == "" {
		return ""
	}
	req := controlapi.NewPlaceRequest(v.balancer.Candidates(now, r, options))
	v.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, v.placeTimeout)
	res, err := controlapi.Call[controlapi.PlaceRequest, controlapi.PlaceResponse](call, v.cfg.Client, controlapi.ProcedurePlace, 0, req)
	cancel()
	v.mu.Lock()
	if ctx.Err() != nil {
		return ""
	}
	if err != nil {
		// The follower logs lost contact; the choice of this host is in the log of the request.
		v.placeFrom = time.Now().Add(placePause)
		return ""
	}
	return res.Instance
}
