package quota

import (
	"math"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// holding is a host's state for one client account.
type holding struct {
	name  fleet.AccountID
	quota routes.Quota
	// free is the credit of the present epoch, which may be used before until.
	free     Units
	until    time.Time
	lifetime time.Duration
	// earlier is what is left of the credit of an earlier epoch, which may be used before earlierUntil.
	earlier      Units
	earlierUntil time.Time
	// returned and refunded are totals of the epoch, stated and refundStated their values in the last call, and confirmed that of
	// refunded in the last call with an answer.
	returned, refunded, refundStated, refundConfirmed Units
	refused                                           uint64
	// statedIn is the number of the last call for which the account was looked at.
	statedIn uint64
	// heldStated is the credit held at the last call.
	heldStated Units
	// low is the credit below which requests make the host ask for more.
	low Units
	// refundFrom is the least call of the tickets whose refund is not confirmed, refundAt the time of the first such refund.
	refundFrom uint64
	refundAt   time.Time
	// After an answer that denied units, a request of as many units is expected to fit at deniedUntil.
	denied      Units
	deniedUntil time.Time
	// unsettled is set if that answer came from a new leader, and the quota may have room.
	unsettled bool
	// tooLarge is the least number of units that the ledger has refused as too many; 0 if there is none.
	tooLarge Units
	waiting  []*Waiter
	// load and hits are the averages of units and requests a second at loadAt.
	load, hits float64
	loadAt     time.Time
	lastAt     time.Time
	// askFrom is the time from which requests that wait may cause a call, prefetchFrom that for expected ones.
	askFrom, prefetchFrom time.Time
	active                bool
}

// denial returns the verdict on requests for which the leader had no units.
func (w *holding) denial() Verdict {
	if w.unsettled {
		return Unsettled
	}
	return Exceeded
}

func (w *holding) isTooLarge(n Units) bool { return w.tooLarge > 0 && n >= w.tooLarge }

// retryIn returns the time after which the leader expects to have room for a request; it is 0 if the leader has to be asked.
func (w *holding) retryIn(now time.Time, n Units) time.Duration {
	if w.deniedUntil.IsZero() {
		return 0
	}
	d := w.deniedUntil.Sub(now) + time.Duration(float64(n-w.denied)/w.quota.Rate*float64(time.Second))
	return min(max(d, 0), maxRetry)
}

// count adds a request to the demand.
func (w *holding) count(now time.Time, n Units) {
	w.decay(now)
	w.load += float64(n) / demandTime.Seconds()
	w.hits += 1 / demandTime.Seconds()
	w.lastAt = now
}

func (w *holding) decay(now time.Time) {
	if d := now.Sub(w.loadAt); d > 0 {
		f := math.Exp(-d.Seconds() / demandTime.Seconds())
		w.load, w.hits, w.loadAt = w.load*f, w.hits*f, now
	}
}

// target returns the credit that the account should have at hand.
func (w *holding) target(now time.Time, interval time.Duration) Units {
	w.decay(now)
	if w.hits < minRate {
		return 0
	}
	return Units(w.load * max(prefetchTime.Seconds(), interval.Seconds(), minRequests/w.hits))
}

// due returns the time at which an account needs a call; it is zero if it needs none.
func (w *holding) due(now time.Time, interval time.Duration) time.Time {
	var at time.Time
	earliest := func(t time.Time) {
		if t.Before(now) {
			t = now
		}
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if len(w.waiting) > 0 {
		earliest(w.askFrom)
	}
	if t := w.target(now, interval); t > 0 && w.free < t/2 && now.Before(w.lastAt.Add(idleTime)) && !now.Before(w.deniedUntil) {
		earliest(w.prefetchFrom)
	}
	if w.free > 0 && now.Before(w.until) {
		earliest(w.lastAt.Add(idleTime))
		if w.lifetime > 2*renewTime {
			earliest(w.until.Add(-renewTime))
		}
	}
	if w.refunded != w.refundConfirmed {
		earliest(w.refundAt.Add(refundDelay))
	}
	return at
}

// state returns the statement of an account, after giving back credit that it needs no more.
func (w *holding) state(now time.Time, interval time.Duration) Statement {
	target := w.target(now, interval)
	w.low = target / 2
	keep := 2 * target
	if target == 0 {
		// The requests have become rare, but may go on.
		keep = w.free
	}
	if !now.Before(w.lastAt.Add(idleTime)) {
		target, keep = 0, 0
	}
	if !now.Before(w.until) {
		w.returned += w.free
		w.free = 0
	}
	if w.free > keep && len(w.waiting) == 0 {
		w.returned += w.free - target
		w.free = target
	}
	s := Statement{Account: w.name, Held: w.free, Returned: w.returned, Refunded: w.refunded, Refused: w.refused}
	w.refundStated = w.refunded
	if w.refunded != w.refundConfirmed {
		s.RefundFrom = w.refundFrom
	}
	for i, r := range w.waiting {
		if i == maxNeeds {
			break
		}
		s.Needs = append(s.Needs, r.Units)
	}
	if len(s.Needs) > 0 {
		// The first request also uses what is held.
		s.Needs[0] = max(s.Needs[0]-w.free, 0)
	}
	w.heldStated = w.free
	if target > w.free {
		s.Expected = target - w.free
	}
	return s
}
