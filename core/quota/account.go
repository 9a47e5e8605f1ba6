package quota

import (
	"math"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// account is a ledger's state for one client account.
type account struct {
	name fleet.AccountID
	limits
	// claim is the credit issued less the leak, out the part of it that hosts may hold.
	claim float64
	out   Units
	// ownClaim is the claim without what earlier ledgers may have lent, which leaks until unsettledUntil at the latest.
	ownClaim       float64
	unsettledUntil time.Time
	// at is the time up to which the claim has leaked.
	at time.Time
	// leakFrom is the time from which the claim leaks. takeoverEnd is the end of the takeover; it is zero afterwards.
	leakFrom, takeoverEnd time.Time
	// spare holds the smallest differences of claim and out from several times on, in the order of these times.
	spare []spareSince
	// waiting holds the credit of hosts that were denied units, in the order of their denials.
	// wanted is the sum of their wants. sweptAt is the time at which those that did not come back were last removed.
	waiting []*credit
	wanted  Units
	sweptAt time.Time
	// removed is set while the configuration doesn't have the account, limited if the account has a quota. The claim of an account without
	// one leaks on, in case that the quota comes back.
	removed, limited bool
	usage            Usage
}

// spareSince says that claim exceeded out by units at a time, and by more at all later ones.
type spareSince struct {
	at    time.Time
	units float64
}

// Usage counts what a ledger has done for one client account.
type Usage struct {
	// Lent is the credit lent, Returned the part of it that came back unused or for requests that did not run.
	Lent, Returned Units
	// Calls is the number of statements of hosts, Denied that of those whose needs were not granted completely.
	Calls, Denied uint64
	// Refused is the number of requests that hosts have refused.
	Refused uint64
}

// Since returns the difference to an earlier usage of the same account.
func (u Usage) Since(v Usage) Usage {
	return Usage{
		Lent: u.Lent - v.Lent, Returned: u.Returned - v.Returned,
		Calls: u.Calls - v.Calls, Denied: u.Denied - v.Denied, Refused: u.Refused - v.Refused,
	}
}

// newAccount returns the state of an account in a ledger that began at a time, with the claims of its takeover until that ends.
func newAccount(name fleet.AccountID, l limits, now, since time.Time) *account {
	a := &account{name: name, limits: l, at: now, leakFrom: since}
	if end := since.Add(takeoverTime); now.Before(end) {
		a.claim, a.takeoverEnd, a.leakFrom = l.takeover, end, since.Add(takeoverDelay)
		a.unsettledUntil = end
		if l.rate > 0 {
			a.unsettledUntil = end.Add(time.Duration(l.outstanding / l.rate * float64(time.Second)))
		}
	}
	return a
}

// limit returns the largest claim at present.
func (a *account) limit() float64 {
	if !a.takeoverEnd.IsZero() {
		return a.limits.takeover
	}
	return a.limits.claim
}

// advance makes the claim leak until now.
func (a *account) advance(now time.Time) {
	if !a.takeoverEnd.IsZero() && !now.Before(a.takeoverEnd) {
		a.leak(a.takeoverEnd)
		// From here on the credit of earlier ledgers is claimed, which may just have been used.
		a.claim += a.outstanding
		a.takeoverEnd = time.Time{}
	}
	a.leak(now)
}

func (a *account) leak(now time.Time) {
	if !now.After(a.at) {
		return
	}
	from := a.at
	if from.Before(a.leakFrom) {
		from = a.leakFrom
	}
	a.at = now
	if d := now.Sub(from); d > 0 {
		a.claim = max(a.claim-a.rate*d.Seconds(), float64(a.out))
		a.ownClaim = max(a.ownClaim-a.rate*d.Seconds(), float64(a.out))
	}
	a.noteSpare(now)
}

// noteSpare records the difference of claim and out, which only settle raises.
func (a *account) noteSpare(now time.Time) {
	s := a.claim - float64(a.out)
	n := len(a.spare)
	for n > 0 && a.spare[n-1].units >= s {
		n--
	}
	a.spare = append(a.spare[:n], spareSince{now, s})
	if len(a.spare) > maxSpares {
		// The larger difference of the two counts for less time.
		a.spare[1].units = a.spare[0].units
		a.spare = slices.Delete(a.spare, 0, 1)
	}
}

// issue lends credit, giveBack takes unused credit back, settle counts credit as used.
func (a *account) issue(n Units) {
	a.claim += float64(n)
	a.ownClaim += float64(n)
	a.out += n
	a.usage.Lent += n
}

// isUnsettled reports whether units that are denied would be granted if earlier ledgers had lent nothing, so that the quota may have room.
func (a *account) isUnsettled(now time.Time, n Units, kept float64) bool {
	return now.Before(a.unsettledUntil) && a.ownClaim+float64(n)+kept <= a.limits.claim
}

func (a *account) giveBack(n Units) {
	a.claim -= float64(n)
	a.ownClaim -= float64(n)
	a.out -= n
	a.usage.Returned += n
}

func (a *account) settle(n Units) { a.out -= n }

// refund lowers the claim for requests that were admitted and did not run, and whose units were settled at a time at the earliest. Without
// them the claim would be lower by n, or by less if it had been down to the credit that hosts hold meanwhile.
func (a *account) refund(n Units, settledAt time.Time) {
	a.noteSpare(a.at)
	least := float64(n)
	for _, s := range a.spare {
		if s.at.After(settledAt) {
			least = min(least, s.units)
			break
		}
	}
	least = min(least, a.claim-float64(a.out))
	if n <= 0 || least <= 0 {
		return
	}
	a.claim -= least
	a.usage.Returned += Units(least)
	for i := range a.spare {
		a.spare[i].units = max(a.spare[i].units-least, 0)
	}
	// Units that are settled now must not count what has been given back.
	a.noteSpare(a.at.Add(1))
}

// room returns the units that may be lent now, above a part of the claim that is kept for others.
func (a *account) room(kept float64) float64 {
	return min(a.limit()-a.claim-kept, a.outstanding-float64(a.out))
}

// counted returns the units that are kept for a host that was denied credit. Only one that has come back and was denied again counts: of
// an account with few requests, the next one usually comes to another host.
func (k *credit) counted() Units {
	if k.denials > 1 {
		return k.wants
	}
	return 0
}

// setWants sets what a host was denied, and how many times in a row.
func (a *account) setWants(k *credit, n Units, denials int) {
	a.wanted += n - k.wants
	k.wants, k.denials = n, denials
}

// keptFor returns the units that are kept for hosts that were denied credit before another one, which is nil if it was not denied any. All
// hosts together can't keep more than half of the tolerance, so that the others still have the burst while those don't come back.
func (a *account) keptFor(now time.Time, k *credit) float64 {
	most := a.limits.takeover
	if !a.takeoverEnd.IsZero() {
		most /= 2
	}
	kept := 0.0
	for i := 0; i < len(a.waiting) && kept < most; {
		w := a.waiting[i]
		if now.After(w.waitsUntil) {
			a.stopWaiting(w)
			continue
		}
		if w == k {
			break
		}
		kept += float64(w.counted())
		i++
	}
	return min(kept, most)
}

// stopWaiting removes the credit of a host from those that wait.
func (a *account) stopWaiting(k *credit) {
	if !k.waits {
		return
	}
	i := slices.Index(a.waiting, k)
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.setWants(k, 0, 0)
	k.waits = false
}

// queueDelay returns the time that the requests which were denied credit before will take up, apart from those of one host. It spreads the
// calls of many hosts that share a used-up quota.
func (a *account) queueDelay(now time.Time, k *credit) time.Duration {
	if now.Sub(a.sweptAt) >= sweepInterval {
		a.sweptAt = now
		a.waiting = slices.DeleteFunc(a.waiting, func(w *credit) bool {
			lapsed := now.After(w.waitsUntil)
			if lapsed {
				a.setWants(w, 0, 0)
				w.waits = false
			}
			return lapsed
		})
	}
	d := float64(a.wanted-k.wants) / a.rate
	return time.Duration(min(d, maxQueueDelay.Seconds()) * float64(time.Second))
}

// retryIn returns the time after which units are expected to fit that don't fit now.
func (a *account) retryIn(now time.Time, n Units, kept float64) time.Duration {
	claim, at := a.claim, now
	if a.leakFrom.After(at) {
		at = a.leakFrom
	}
	limit := a.limit()
	if !a.takeoverEnd.IsZero() && float64(n)+kept > limit {
		// It doesn't fit before the end of the takeover.
		claim = max(claim-a.rate*a.takeoverEnd.Sub(at).Seconds(), 0) + a.outstanding
		at, limit = a.takeoverEnd, a.limits.claim
	}
	wait := max(claim+kept+float64(n)-limit, 0) / a.rate
	if wait > maxRetry.Seconds() {
		return maxRetry
	}
	return max(at.Add(time.Duration(math.Ceil(wait*1e9))).Sub(now), minRetry)
}

// Bounds of the times after which hosts are told to ask again.
const (
	// minRetry also is the time after which hosts ask again when there is room but all of the credit that may be outstanding is.
	minRetry = 50 * time.Millisecond
	maxRetry = time.Hour
	// maxQueueDelay bounds the time that hosts are told because of others, of which many may not come back.
	maxQueueDelay = time.Second
	sweepInterval = 250 * time.Millisecond
)
