package routing

import (
	"time"

	"toucanway/core/fleet"
)

const (
	// budgetBurst is the longest time for which an unused budget accumulates.
	budgetBurst = 10 * time.Second
	// maxBudgets bounds the tenants with an account; all accounts are reset when it is reached.
	maxBudgets = 4096
)

// budgets limits the bytes that tenants move between regions, with a leaky bucket for each tenant.
type budgets struct {
	rate     func(fleet.TenantID) fleet.Bytes
	accounts map[fleet.TenantID]*account
}

type account struct {
	spent     float64
	updatedAt time.Time
}

// drain reduces the spent bytes at the tenant's rate.
func (a *account) drain(now time.Time, rate fleet.Bytes) {
	a.spent = max(0, a.spent-float64(rate)*now.Sub(a.updatedAt).Seconds())
	a.updatedAt = now
}

// exhausted reports whether a tenant has used up its budget.
func (b *budgets) exhausted(now time.Time, id fleet.TenantID) bool {
	if b.rate == nil {
		return false
	}
	a := b.accounts[id]
	if a == nil {
		return false
	}
	rate := b.rate(id)
	a.drain(now, rate)
	return a.spent > float64(rate)*budgetBurst.Seconds()
}

// Charge counts bytes that a tenant moved between regions.
func (r *Router) Charge(now time.Time, id fleet.TenantID, n fleet.Bytes) {
	b := &r.budgets
	if b.rate == nil {
		return
	}
	a := b.accounts[id]
	if a == nil {
		if b.accounts == nil || len(b.accounts) >= maxBudgets {
			b.accounts = map[fleet.TenantID]*account{}
		}
		a = &account{updatedAt: now}
		b.accounts[id] = a
	}
	a.drain(now, b.rate(id))
	a.spent += float64(n)
}
