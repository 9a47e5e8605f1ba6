package quota

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Times and bounds of a host.
const (
	// retryDelay is the delay after a call that failed, and after one that the ledger could not decide.
	retryDelay = 100 * time.Millisecond
	// A host asks for the credit of the next prefetchTime, or of minRequests requests, for accounts with minRate requests a second or
	// more, once half of it is used and at most every prefetchInterval. The ledger may ask for a longer interval, which lengthens
	// prefetchTime as well. An account with fewer requests gets credit for each of them.
	prefetchTime     = 500 * time.Millisecond
	prefetchInterval = 150 * time.Millisecond
	minRequests      = 2
	minRate          = 1.5
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// idleTime is the time without requests after which the credit of an account is returned.
	idleTime = time.Second
	// renewTime is the rest of the life of credit that makes a host renew it.
	renewTime = 2 * time.Second
	// refundDelay is the time for which refunds are collected before they cause a call.
	refundDelay = 250 * time.Millisecond
	// maxSpacing bounds the time for which requests wait since the leader has many hosts.
	maxSpacing = 500 * time.Millisecond
	// maxWaiters bounds the requests that wait for credit on one host.
	maxWaiters = 8192
)

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Undecided means that the request waits for the answer to a call.
	Undecided Verdict = iota
	// Admitted means that the request may run; its units are charged.
	Admitted
	// Exceeded means that the quota is used up.
	Exceeded
	// Unsettled means that the quota may have room, but that the leader, which is new, can't lend it yet.
	Unsettled
	// TooLarge means that the request needs more than the quota ever allows at once.
	TooLarge
	// Overloaded means that too many requests wait on this host.
	Overloaded
)

// Ticket is the charge of an admitted request; the zero value is none.
type Ticket struct {
	holding *holding
	units   Units
	epoch   Epoch
	call    uint64
}

// Units returns the units charged.
func (t *Ticket) Units() Units { return t.units }

// Waiter is a request that waits for credit.
type Waiter struct {
	Units Units
	// Decided is called once with the verdict. RetryIn is set with Exceeded and Unsettled, Ticket with Admitted.
	Decided func(*Waiter)
	Verdict Verdict
	RetryIn time.Duration
	Ticket  Ticket
	holding *holding
}

// Credit is what one process of a host holds. It reads no clock and is not safe for concurrent use.
type Credit struct {
	process  uint64
	holdings map[fleet.AccountID]*holding
	// active holds the holdings that need calls, now or later.
	active  []*holding
	waiters int
	epoch   Epoch
	// number is that of the last call begun, taken that of the last one whose answer was applied.
	number, taken uint64
	inFlight      bool
	sentAt        time.Time
	retryAt       time.Time
	isLow         bool
	// interval is the least time between calls without requests that wait.
	interval time.Duration
	// spacing is the least time between all calls.
	spacing time.Duration
}

// IsLow reports whether requests have used most of the credit of an account since the last call of IsLow, so that Next has changed.
func (c *Credit) IsLow() bool {
	low := c.isLow
	c.isLow = false
	return low && !c.inFlight
}

// NewCredit returns the state of a process, whose number must differ from that of other processes of the host.
func NewCredit(process uint64) *Credit {
	return &Credit{process: process, holdings: map[fleet.AccountID]*holding{}, interval: prefetchInterval}
}

// Configure sets the accounts. Credit under a quota that has changed is returned, and requests that wait for one that is gone are admitted.
func (c *Credit) Configure(now time.Time, accounts []routes.Account) {
	known := make(map[fleet.AccountID]bool, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		known[a.Name] = true
		if w := c.holdings[a.Name]; w != nil && w.quota != a.Quota {
			c.change(now, w, a.Quota)
		}
	}
	for id, w := range c.holdings {
		if !known[id] {
			c.change(now, w, routes.Quota{})
			delete(c.holdings, id)
		}
	}
}

func (c *Credit) change(now time.Time, w *holding, q routes.Quota) {
	w.quota = q
	w.returned += w.free
	w.free, w.earlier, w.denied, w.deniedUntil, w.tooLarge = 0, 0, 0, time.Time{}, 0
	if q.Limited() {
		c.activate(w)
		return
	}
	for _, r := range w.waiting {
		c.waiters--
		r.Verdict = Admitted
		r.Decided(r)
	}
	w.waiting = nil
}

// Admit decides on a request of an account with a quota. If the verdict is Undecided, the request has to wait with Join.
func (c *Credit) Admit(now time.Time, a *routes.Account, n Units) (Ticket, Verdict, time.Duration) {
	w := c.holdings[a.Name]
	if w == nil {
		w = &holding{name: a.Name, quota: a.Quota, loadAt: now}
		c.holdings[a.Name] = w
	}
	if len(w.waiting) == 0 {
		if t, ok := c.spend(now, w, n); ok {
			w.count(now, n)
			if w.free < w.low && w.hits >= minRate {
				c.activate(w)
				c.isLow = true
			}
			return t, Admitted, 0
		}
	}
	if w.isTooLarge(n) {
		w.refused++
		return Ticket{}, TooLarge, 0
	}
	if d := w.retryIn(now, n); d > 0 {
		w.refused++
		return Ticket{}, w.denial(), d
	}
	if c.waiters >= maxWaiters {
		return Ticket{}, Overloaded, 0
	}
	return Ticket{}, Undecided, 0
}

// Join makes a request wait for credit.
func (c *Credit) Join(now time.Time, a *routes.Account, r *Waiter) {
	w := c.holdings[a.Name]
	r.holding = w
	w.waiting = append(w.waiting, r)
	c.waiters++
	w.count(now, r.Units)
	c.activate(w)
}

// Leave ends the wait of a request that has not been decided; it reports whether there was one.
func (c *Credit) Leave(now time.Time, r *Waiter) bool {
	for i, o := range r.holding.waiting {
		if o == r {
			w := r.holding
			w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
			c.waiters--
			if i == 0 {
				c.settle(now, w)
			}
			return true
		}
	}
	return false
}

// spend charges a request if there is credit for it.
func (c *Credit) spend(now time.Time, w *holding, n Units) (Ticket, bool) {
	free, earlier := w.free, w.earlier
	if !now.Before(w.until) {
		free = 0
	}
	if !now.Before(w.earlierUntil) {
		earlier = 0
	}
	if free+earlier < n {
		return Ticket{}, false
	}
	fromEarlier := min(earlier, n)
	w.earlier -= fromEarlier
	n -= fromEarlier
	w.free -= n
	// Only credit of the present epoch can be refunded.
	return Ticket{holding: w, units: n, epoch: c.epoch, call: c.number}, true
}

// Refund gives back the units of a request that did not run. A ticket may be refunded once.
func (c *Credit) Refund(now time.Time, t Ticket) {
	w := t.holding
	if w == nil || t.units == 0 || t.epoch != c.epoch || c.holdings[w.name] != w {
		return
	}
	if t.call == c.number && now.Before(w.until) {
		// The ledger still counts the units as held.
		w.free += t.units
		c.activate(w)
		c.settle(now, w)
		return
	}
	if w.refunded == w.refundConfirmed {
		w.refundFrom, w.refundAt = t.call, now
	}
	w.refundFrom = min(w.refundFrom, t.call)
	w.refunded += t.units
	c.activate(w)
}

// settle decides on the requests that wait for credit, as far as that is possible without another call.
func (c *Credit) settle(now time.Time, w *holding) {
	decided := 0
	for _, r := range w.waiting {
		if t, ok := c.spend(now, w, r.Units); ok {
			r.Ticket, r.Verdict = t, Admitted
		} else if w.isTooLarge(r.Units) {
			r.Verdict = TooLarge
			w.refused++
		} else if r.RetryIn = w.retryIn(now, r.Units); r.RetryIn > 0 {
			r.Verdict = w.denial()
			w.refused++
		} else {
			break
		}
		decided++
		c.waiters--
	}
	done := w.waiting[:decided:decided]
	w.waiting = w.waiting[decided:]
	if len(w.waiting) == 0 {
		w.waiting = nil
	}
	for _, r := range done {
		r.Decided(r)
	}
}

func (c *Credit) activate(w *holding) {
	if !w.active {
		w.active = true
		c.active = append(c.active, w)
	}
}

// Next returns the time at which a call is due, and false if none is while nothing changes.
func (c *Credit) Next(now time.Time) (time.Time, bool) {
	if c.inFlight {
		return time.Time{}, false
	}
	var at time.Time
	kept := c.active[:0]
	found := false
	for _, w := range c.active {
		d := w.due(now, c.interval)
		if d.IsZero() && (w.free == 0 || !now.Before(w.until)) && w.hits < minRate {
			w.active = false
			continue
		}
		kept = append(kept, w)
		if !d.IsZero() && (!found || d.Before(at)) {
			at, found = d, true
		}
	}
	clear(c.active[len(kept):])
	c.active = kept
	if found && at.Before(c.retryAt) {
		at = c.retryAt
	}
	if from := c.sentAt.Add(c.spacing); found && at.Before(from) {
		at = from
	}
	return at, found
}

// Begin returns the next call. Take or Fail must follow before another one.
func (c *Credit) Begin(now time.Time) *Call {
	c.number++
	c.inFlight, c.sentAt = true, now
	call := &Call{Epoch: c.epoch, Process: c.process, Number: c.number, Taken: c.taken}
	// Credit that is not stated counts as used.
	for _, held := range []bool{true, false} {
		for _, w := range c.active {
			if (w.free > 0) == held && w.statedIn != c.number && len(call.Accounts) < maxStatements {
				// The statement may give back all that is held, so that the second pass comes to the account again.
				w.statedIn = c.number
				if s := w.state(now, c.interval); held || len(s.Needs) > 0 || s.Expected > 0 || w.refunded != w.refundConfirmed {
					call.Accounts = append(call.Accounts, s)
				}
			}
		}
	}
	return call
}

// Fail ends a call that got no answer. An answer that arrives later must not be applied.
func (c *Credit) Fail(now time.Time) {
	c.inFlight = false
	c.retryAt = now.Add(retryDelay)
}

// Take applies the answer to the call under way, and reports whether it says anything. It counts as failed if it arrives too late.
func (c *Credit) Take(now time.Time, a *Answer) bool {
	if !c.inFlight || a.Number != c.number {
		return false
	}
	if a.Ignored || a.Epoch < c.epoch || c.isLate(now, a) {
		c.Fail(now)
		return false
	}
	c.inFlight, c.taken = false, c.number
	if a.Epoch != c.epoch {
		c.begin(now, a.Epoch)
	}
	c.interval, c.spacing = max(a.Interval, prefetchInterval), min(a.Spacing, maxSpacing)
	for i := range a.Grants {
		if w := c.holdings[a.Grants[i].Account]; w != nil {
			c.apply(now, w, &a.Grants[i])
		}
	}
	return true
}

// isLate reports whether credit of an answer has reached its end.
func (c *Credit) isLate(now time.Time, a *Answer) bool {
	for i := range a.Grants {
		if g := &a.Grants[i]; g.Units > 0 && !now.Before(c.sentAt.Add(g.Lifetime)) {
			return true
		}
	}
	return false
}

// begin sets the credit of the present epoch aside: the new ledger doesn't renew it, so that it ends when it would have ended.
func (c *Credit) begin(now time.Time, e Epoch) {
	c.epoch = e
	for _, w := range c.holdings {
		if w.free > 0 && now.Before(w.until) {
			if w.earlier > 0 && now.Before(w.earlierUntil) && w.earlierUntil.Before(w.until) {
				w.until = w.earlierUntil
			} else if !now.Before(w.earlierUntil) {
				w.earlier = 0
			}
			w.earlier += w.free
			w.earlierUntil = w.until
		}
		w.free, w.until, w.deniedUntil = 0, time.Time{}, time.Time{}
		w.returned, w.refunded, w.refundStated, w.refundConfirmed = 0, 0, 0, 0
	}
}

func (c *Credit) apply(now time.Time, w *holding, g *Grant) {
	w.refundConfirmed = w.refundStated
	if w.refunded != w.refundConfirmed {
		w.refundAt = now
	}
	if g.Unknown {
		w.askFrom = now.Add(retryDelay)
		return
	}
	if !w.quota.Limited() {
		w.returned += g.Units
		return
	}
	w.free += g.Units
	w.until = c.sentAt.Add(g.Lifetime)
	w.prefetchFrom = c.sentAt.Add(c.interval)
	w.lifetime = g.Lifetime
	w.denied, w.deniedUntil, w.unsettled = g.Denied, time.Time{}, g.Unsettled
	if g.Units == 0 {
		// It was the first request, whose needs were stated without what is held.
		w.denied += w.heldStated
	}
	switch {
	case g.TooLarge:
		if w.tooLarge == 0 || w.denied < w.tooLarge {
			w.tooLarge = w.denied
		}
	case g.Waits:
		w.askFrom = now.Add(min(g.RetryIn, retryDelay))
	case g.Denied > 0:
		w.deniedUntil = now.Add(g.RetryIn)
	}
	c.settle(now, w)
	c.activate(w)
}
