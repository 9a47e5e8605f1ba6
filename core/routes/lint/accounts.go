package lint

import (
	"fmt"
	"strings"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

func (c *checker) checkAccounts() {
	if len(c.cfg.Accounts) == 0 {
		return
	}
	public := 0
	for i := range c.cfg.Routes {
		if c.cfg.Routes[i].Public {
			public++
		}
	}
	place{c, "accounts"}.warnIf(public == len(c.cfg.Routes), "no route needs a key, since all routes are public", "remove public from a route or remove the accounts")
	for i := range c.cfg.Accounts {
		c.checkAccount(&c.cfg.Accounts[i])
	}
}

func (c *checker) checkAccount(a *routes.Account) {
	p := c.at("account", string(a.Name))
	p.warnIf(strings.ContainsFunc(string(a.Name), func(r rune) bool { return r <= ' ' || r > '~' }), "servers get the name in a header, which holds only visible ASCII characters",
		"use letters, digits and dashes")
	p.warnIf(len(a.Keys) == 0, "it has no keys, so that no request is sent in its name", "add a key or remove the account")
	seen := map[routes.KeyHash]bool{}
	for i, k := range a.Keys {
		p.warnIf(k == routes.HashKey(nil), fmt.Sprintf("key %d is empty and never matches", i+1), "remove it")
		p.warnIf(seen[k], fmt.Sprintf("key %d is listed before", i+1), "remove it")
		seen[k] = true
	}
	p.warnIf(a.HasPriority && (a.Priority < 0 || a.Priority > lowestPriority), fmt.Sprintf("servers do not distinguish priority %d", a.Priority),
		fmt.Sprintf("use 0 to %d", lowestPriority))
	c.checkQuota(p, &a.Quota)
}

func (c *checker) checkQuota(p place, q *routes.Quota) {
	if !q.Limited() {
		p.warnIf(q.Burst > 0, "it has a burst but no rate, so that it has no quota", "set a rate above 0 or remove the burst")
		return
	}
	most := q.Burst
	if c.settings.QuotaLimit != nil {
		most = c.settings.QuotaLimit(q.Rate, q.Burst)
	}
	if !q.Tokens {
		p.warnIf(most < 1, fmt.Sprintf("its burst of %v is less than one request, so that every request is refused", q.Burst), "set the burst to 1 or more")
		return
	}
	p.warnIf(q.PlainTokens == 0, "a request that names no tokens counts as 0 units, so that the quota does not bound such requests", "set the tokens of plain requests above 0")
	p.warnIf(float64(q.PlainTokens) > most, fmt.Sprintf("a request that names no tokens counts as %d units, over the %.0f that fit at once, and is always refused", q.PlainTokens, most),
		"raise the burst or lower the tokens of plain requests")
	largest := c.largestRequest()
	p.warnIf(float64(largest) > most, fmt.Sprintf("requests of %.0f to %d tokens are always refused, since they are over its burst of %v", most, largest, q.Burst),
		"raise the burst, or name the largest request that callers send if it is smaller")
}

// largestRequest returns the tokens of the largest request that callers send, or 0 if it is not known.
func (c *checker) largestRequest() fleet.Tokens {
	if c.settings.LargestRequest > 0 {
		return c.settings.LargestRequest
	}
	largest := fleet.Tokens(0)
	for i := range c.cfg.Services {
		if e := c.cfg.Services[i].Engine; e != nil {
			largest = max(largest, e.KVCapacity)
		}
	}
	return largest
}
