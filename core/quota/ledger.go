package quota

import (
	"container/heap"
	"iter"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Ledger lends the credit of one leadership to hosts. It reads no clock and is not safe for concurrent use.
type Ledger struct {
	tolerance Tolerance
	epoch     Epoch
	since     time.Time
	accounts  map[fleet.AccountID]*account
	holders   map[holderKey]*holder
	// credits is the number of elements of holders.credits, expiring those that hosts may hold, in the order of their ends.
	credits  int
	expiring creditHeap
	sweptAt  time.Time
}

// NewLedger returns the ledger of a leadership that has just begun. The epoch must be higher than that of earlier leaderships, whose
// leaders must lend nothing from now on.
func NewLedger(now time.Time, e Epoch, t Tolerance) *Ledger {
	return &Ledger{tolerance: t, epoch: e, since: now, accounts: map[fleet.AccountID]*account{}, holders: map[holderKey]*holder{}}
}

// Configure sets the quotas. A claim beyond the new bounds of an account is cut, so that a lowered quota doesn't stop the account until the
// claim has leaked at the new rate.
func (l *Ledger) Configure(now time.Time, accounts []routes.Account) {
	l.expire(now)
	for _, a := range l.accounts {
		a.removed = true
	}
	for i := range accounts {
		q := &accounts[i].Quota
		a := l.accounts[accounts[i].Name]
		lim := l.tolerance.limits(q.Rate, q.Burst)
		switch {
		case a == nil:
			l.accounts[accounts[i].Name] = newAccount(accounts[i].Name, lim, now, l.since)
		case a.limits == lim:
			a.removed = false
		default:
			a.advance(now)
			a.limits, a.removed = lim, false
			a.claim = max(min(a.claim, a.limit()), float64(a.out))
			a.noteSpare(now)
		}
		l.accounts[accounts[i].Name].limited = q.Limited()
	}
	for id, a := range l.accounts {
		a.advance(now)
		if a.removed && a.out == 0 && (a.claim <= 0 || a.rate == 0) {
			l.forget(id)
		}
	}
}

// forget drops an account of which no host holds credit.
func (l *Ledger) forget(id fleet.AccountID) {
	delete(l.accounts, id)
	for _, h := range l.holders {
		k := h.credits[id]
		if k == nil {
			continue
		}
		if k.index >= 0 {
			heap.Remove(&l.expiring, k.index)
		}
		delete(h.credits, id)
		l.credits--
	}
}

// Call processes a call of a host and returns the answer.
func (l *Ledger) Call(now time.Time, host fleet.HostID, c *Call) Answer {
	l.expire(now)
	a := Answer{
		Epoch: l.epoch, Number: c.Number, Interval: intervalPerHolder * time.Duration(len(l.holders)),
		Spacing: spacingPerHolder * time.Duration(max(len(l.holders)-freeHolders, 0)),
	}
	h := l.holder(now, holderKey{host, c.Process}, c)
	if h == nil {
		for i := range c.Accounts {
			a.Grants = append(a.Grants, Grant{Account: c.Accounts[i].Account, Unknown: true})
		}
		return a
	}
	if c.Number <= h.last {
		a.Ignored = true
		return a
	}
	h.seenAt = now
	l.confirm(now, h, c.Epoch == l.epoch && c.Taken == h.last)
	h.last = c.Number
	if len(h.times) == maxCallTimes {
		h.times = append(h.times[:0], h.times[maxCallTimes/2:]...)
	}
	h.times = append(h.times, callTime{c.Number, now})
	statements := c.Accounts[:min(len(c.Accounts), maxStatements)]
	stated := make([]*credit, len(statements))
	for i := range statements {
		stated[i] = l.state(now, h, &statements[i], c.Epoch == l.epoch)
	}
	l.settleUnstated(h)
	a.Grants = make([]Grant, len(statements))
	for i, k := range stated {
		a.Grants[i] = l.grant(now, k, &statements[i])
	}
	return a
}

// holder returns the record of a process, or nil if there is no room for a new one.
func (l *Ledger) holder(now time.Time, key holderKey, c *Call) *holder {
	h := l.holders[key]
	if h == nil && len(l.holders) < maxHolders {
		h = &holder{seenAt: now, credits: map[fleet.AccountID]*credit{}, resumed: c.Epoch == l.epoch}
		l.holders[key] = h
	}
	return h
}

// confirm settles the credit of the answer to the last call, which the host has applied or never will.
func (l *Ledger) confirm(now time.Time, h *holder, applied bool) {
	for _, k := range h.credits {
		if k.pending == 0 {
			continue
		}
		k.account.advance(now)
		if applied {
			k.held += k.pending
		} else {
			k.account.giveBack(k.pending)
		}
		k.pending = 0
	}
}

// state records what a host says of an account. It returns nil if the account is unknown or there is no room for it.
func (l *Ledger) state(now time.Time, h *holder, s *Statement, sameEpoch bool) *credit {
	a := l.accounts[s.Account]
	if a == nil {
		return nil
	}
	k := h.credits[s.Account]
	if k != nil && k.statedIn == h.last {
		// A call has one statement for each account.
		return nil
	}
	a.advance(now)
	a.usage.Calls++
	if k == nil {
		if l.credits >= maxCredits {
			return nil
		}
		k = &credit{account: a, index: -1, refused: s.Refused}
		if h.resumed {
			k.returned, k.refunded = s.Returned, s.Refunded
		}
		h.credits[s.Account] = k
		l.credits++
	}
	k.statedIn = h.last
	a.usage.Refused += s.Refused - min(k.refused, s.Refused)
	k.refused = s.Refused
	if !sameEpoch {
		// The host holds no credit of this ledger, and its totals are those of another one.
		a.settle(k.held)
		k.held = 0
		return k
	}
	gone := k.held - min(max(s.Held, 0), k.held)
	unused := min(max(s.Returned-k.returned, 0), gone)
	a.giveBack(unused)
	a.settle(gone - unused)
	if s.Refunded > k.refunded {
		if at, ok := h.settledAt(s.RefundFrom); ok {
			a.refund(s.Refunded-k.refunded, at)
		}
	}
	k.held -= gone
	k.returned, k.refunded = max(k.returned, s.Returned), max(k.refunded, s.Refunded)
	return k
}

// settleUnstated counts the credit of accounts that a call doesn't state as used.
func (l *Ledger) settleUnstated(h *holder) {
	for _, k := range h.credits {
		if k.held > 0 && k.statedIn != h.last {
			k.account.settle(k.held)
			k.held = 0
		}
		if k.held == 0 && k.index >= 0 {
			heap.Remove(&l.expiring, k.index)
		}
	}
}

// grant lends what an account has room for.
func (l *Ledger) grant(now time.Time, k *credit, s *Statement) Grant {
	g := Grant{Account: s.Account}
	needs := s.Needs[:min(len(s.Needs), maxNeeds)]
	if k == nil || k.account.removed {
		g.Unknown = true
		return g
	}
	a := k.account
	if !a.limited {
		// The host has yet to hear that the quota is gone.
		g.Units, g.Lifetime = total(needs), BriefLifetime
		return g
	}
	g.Lifetime = BriefLifetime
	kept := a.keptFor(now, k)
	for _, n := range needs {
		if n = bounded(n); float64(n) > min(a.outstanding, a.limits.claim) {
			g.Denied, g.TooLarge = n, true
			break
		}
		if float64(g.Units+n) > a.room(kept) {
			g.Denied, g.RetryIn = n, a.retryIn(now, g.Units+n, kept)
			g.Unsettled = a.isUnsettled(now, g.Units+n, kept)
			if rest := total(needs) - g.Units; !a.takeoverEnd.IsZero() && float64(a.wanted-k.wants+rest) <= a.limits.takeover {
				// The credit of earlier ledgers, which may not even have been used, is what keeps these requests waiting.
				g.Waits = true
			} else {
				g.RetryIn = max(g.RetryIn, a.queueDelay(now, k))
			}
			break
		}
		g.Units += n
	}
	if g.Units > 0 || g.TooLarge {
		a.stopWaiting(k)
	}
	if g.RetryIn > 0 {
		a.usage.Denied++
		l.wait(now, k, &g, total(needs)-g.Units)
	}
	if g.Denied == 0 && len(a.waiting) == 0 && a.takeoverEnd.IsZero() {
		// The tolerance is left for requests that are here already.
		spare := a.room(0) - (a.limits.claim - a.outstanding)
		g.Units += max(min(bounded(s.Expected), Units(spare)-g.Units), 0)
	}
	if a.takeoverEnd.IsZero() && (k.held > 0 || g.Units > total(needs)) {
		g.Lifetime = Lifetime
	}
	a.issue(g.Units)
	k.pending = g.Units
	l.extend(now, k, g.Lifetime)
	return g
}

func total(needs []Units) (sum Units) {
	for _, n := range needs {
		sum += bounded(n)
	}
	return sum
}

// wait records that a host was denied credit, so that others don't take what it was told to come back for.
func (l *Ledger) wait(now time.Time, k *credit, g *Grant, rest Units) {
	a := k.account
	if !k.waits {
		k.waits = true
		a.waiting = append(a.waiting, k)
	}
	wants := g.Denied
	if g.Waits {
		wants = rest
	}
	a.setWants(k, wants, k.denials+1)
	// Callers are told times that spread over a quarter of the wait or 500 ms, see holdoff.ReturnDelay.
	k.waitsUntil = now.Add(g.RetryIn + max(g.RetryIn/4, 500*time.Millisecond) + 250*time.Millisecond)
}

// extend sets the time until which credit counts.
func (l *Ledger) extend(now time.Time, k *credit, lifetime time.Duration) {
	margin := countMargin
	if lifetime == BriefLifetime {
		margin = briefMargin
	}
	if until := now.Add(lifetime + margin); until.After(k.until) {
		k.until = until
	}
	switch {
	case k.held+k.pending == 0:
	case k.index < 0:
		heap.Push(&l.expiring, k)
	default:
		heap.Fix(&l.expiring, k.index)
	}
}

// expire counts credit that has reached its end as used, and forgets processes that are gone.
func (l *Ledger) expire(now time.Time) {
	for len(l.expiring) > 0 && !now.Before(l.expiring[0].until) {
		k := heap.Pop(&l.expiring).(*credit)
		k.account.advance(k.until)
		k.account.settle(k.held + k.pending)
		k.held, k.pending = 0, 0
	}
	if now.Sub(l.sweptAt) < time.Second {
		return
	}
	l.sweptAt = now
	for key, h := range l.holders {
		if now.Sub(h.seenAt) < holderTime {
			continue
		}
		for _, k := range h.credits {
			k.account.stopWaiting(k)
		}
		l.credits -= len(h.credits)
		delete(l.holders, key)
	}
}

// Outstanding returns the credit of an account that hosts may hold, and the claim.
func (l *Ledger) Outstanding(now time.Time, id fleet.AccountID) (out Units, claim float64) {
	l.expire(now)
	a := l.accounts[id]
	if a == nil {
		return 0, 0
	}
	a.advance(now)
	return a.out, a.claim
}

// Knows reports whether the ledger has a record of an account.
func (l *Ledger) Knows(id fleet.AccountID) bool { return l.accounts[id] != nil }

// Usage returns what the ledger has done for each account.
func (l *Ledger) Usage() iter.Seq2[fleet.AccountID, Usage] {
	return func(yield func(fleet.AccountID, Usage) bool) {
		for id, a := range l.accounts {
			if !yield(id, a.usage) {
				return
			}
		}
	}
}
