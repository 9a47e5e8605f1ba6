package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/accounts"
	"toucanway/core/routes"
)

// table is a configuration with the directory of its client accounts.
type table struct {
	*routes.Table
	accounts *accounts.Directory
}

// newTable indexes a configuration; the error says why its client accounts contradict each other.
func newTable(c *routes.Configuration) (*table, error) {
	d, err := accounts.New(c.Accounts)
	if err != nil {
		return nil, err
	}
	return &table{routes.NewTable(c), d}, nil
}

// hasAccounts reports whether requests need a key unless their route is public.
func (t *table) hasAccounts() bool { return len(t.Configuration.Accounts) > 0 }

// enter decides whether a request is served before a server is chosen for it: it finds the route and the client account. It returns the
// configuration that has both, or a refusal.
func (x *exchange) enter(t *table) (*table, *refusal) {
	t, confirmed := x.matchRoute(t)
	if x.route == nil {
		return t, unknownRoute(confirmed)
	}
	if !x.findAccount(t) {
		// A newer version may have come into force since the first look, also one in which the route is public.
		t, confirmed = x.proxy.view.confirmedTable()
		if x.route = x.match(t); x.route == nil {
			return t, unknownRoute(confirmed)
		}
		if !x.findAccount(t) {
			return t, unknownKey(confirmed)
		}
	}
	if x.account != nil {
		var r *refusal
		if t, r = x.checkFresh(t); r != nil {
			return t, r
		}
	}
	// The key is no longer needed, and its bytes belong to the headers, which change from here on.
	x.info.Key = nil
	return t, nil
}

// findAccount sets the account of the request, and reports whether the request needs no other key than it has.
func (x *exchange) findAccount(t *table) bool {
	x.account, x.hidesKey = nil, t.hasAccounts()
	if !x.hidesKey {
		return true
	}
	x.account = t.accounts.Find(x.info.Key)
	return x.account != nil || x.route.Public
}

// checkFresh refuses a request with an account if the configuration of this host may lack the removal of its key for too long. It first
// waits for a confirmation for up to accountsWait, and looks the key up again in the newest configuration. A request for a public route is
// then served without an account.
func (x *exchange) checkFresh(t *table) (*table, *refusal) {
	v := x.proxy.view
	rule := accounts.Freshness{Bound: v.cfg.KeyRevocation}
	var timeout <-chan time.Time
	for {
		newest, confirmedAt, confirmed := v.inForce()
		if newest != t {
			// The time of the confirmation says nothing about an older configuration.
			t = newest
			if x.route = x.match(t); x.route == nil {
				return t, unknownRoute(v.isConfirmed(confirmedAt))
			}
			if !x.findAccount(t) {
				return t, unknownKey(v.isConfirmed(confirmedAt))
			}
			if x.account == nil {
				return t, nil
			}
		}
		if rule.Allows(v.cfg.Now(), confirmedAt) {
			return t, nil
		}
		if timeout == nil {
			timer := time.NewTimer(min(accountsWait, x.route.Timeout/2))
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-confirmed:
			continue
		case <-timeout:
		case <-x.ctx.Done():
		}
		if x.route.Public {
			x.account = nil
			return t, nil
		}
		return t, &refusal{
			status: fasthttp.StatusServiceUnavailable, code: "accounts-stale",
			message: "this host has not been in contact with the control group for long enough that the key may have been removed; the request was not run; retry shortly or use another host",
		}
	}
}

// priority returns the rank of the request: that of its account, or else of its route.
func (x *exchange) priority() int { return accounts.Priority(x.account, x.route.Priority) }

// unknownRoute returns the refusal of a request without a route, given whether the configuration is known to be the newest one.
func unknownRoute(confirmed bool) *refusal {
	if !confirmed {
		return &refusal{
			status: fasthttp.StatusServiceUnavailable, code: "configuration-stale",
			message: "no route matches in the configuration of this host, which may not be the newest; retry shortly",
		}
	}
	return &refusal{status: fasthttp.StatusNotFound, code: "unknown-route", message: "no route matches this host and path"}
}

// unknownKey returns the refusal of a request without a valid key, given whether the configuration is known to be the newest one.
func unknownKey(confirmed bool) *refusal {
	if !confirmed {
		return &refusal{
			status: fasthttp.StatusServiceUnavailable, code: "configuration-stale",
			message: "no account of the configuration of this host has the key, but the configuration may not be the newest; retry shortly",
		}
	}
	return &refusal{
		status: fasthttp.StatusUnauthorized, code: "unknown-key",
		message: "the request has no key of a client account; send exactly one valid key in its headers",
	}
}
