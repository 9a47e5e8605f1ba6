package controller

import (
	"context"
	"maps"

	"toucanway/core/fleet"
	"toucanway/io/controlapi"
)

// handleAccounts answers with the state of the client accounts, without their keys.
func (c *Controller) handleAccounts(context.Context, fleet.HostID, *controlapi.AccountsRequest) (*controlapi.AccountsResponse, error) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.validLeadership()
	if l == nil {
		return &controlapi.AccountsResponse{Reply: c.notLeader()}, nil
	}
	res := &controlapi.AccountsResponse{Counted: now.Sub(l.since)}
	if c.table == nil {
		return res, nil
	}
	cfg := c.table.Configuration
	res.Configuration = cfg.Version
	uses := maps.Collect(l.quotas.ledger.Uses(now))
	for i := range cfg.Accounts {
		a := &cfg.Accounts[i]
		u := uses[a.Name]
		used, refused := l.quotas.rates.Of(now, a.Name, u)
		res.Accounts = append(res.Accounts, controlapi.AccountState{
			Account: a.Name, Keys: len(a.Keys), Priority: a.Priority, HasPriority: a.HasPriority, Rate: a.Quota.Rate, Burst: a.Quota.Burst,
			Tokens: a.Quota.Tokens, Lent: float64(u.Lent), Used: float64(u.Used), Refused: float64(u.Refused), UsedRate: used, RefusedRate: refused,
		})
	}
	return res, nil
}
