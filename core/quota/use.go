package quota

import (
	"iter"
	"time"

	"toucanway/core/fleet"
)

// Use is what a ledger knows of the requests of one client account.
type Use struct {
	// Used is the credit that was used or that expired, Lent the credit that hosts may hold.
	Used, Lent Units
	// Refused is the number of requests that hosts have refused.
	Refused uint64
}

// Uses returns the use of each account since the ledger began.
func (l *Ledger) Uses(now time.Time) iter.Seq2[fleet.AccountID, Use] {
	l.expire(now)
	return func(yield func(fleet.AccountID, Use) bool) {
		for id, a := range l.accounts {
			if !yield(id, Use{Used: a.usage.Lent - a.usage.Returned - a.out, Lent: a.out, Refused: a.usage.Refused}) {
				return
			}
		}
	}
}

// rateTime is the shortest time over which Rates are measured; the longest is twice as long.
const rateTime = 5 * time.Second

// Rates measures use over the last seconds. The zero value has seen nothing.
type Rates struct{ older, newer useSample }

// useSample is the use of the accounts at a time; those that have used nothing are left out.
type useSample struct {
	at   time.Time
	uses map[fleet.AccountID]Use
}

// Observe records the uses at a time if the last record is old enough. It should be called every few seconds.
func (r *Rates) Observe(now time.Time, uses iter.Seq2[fleet.AccountID, Use]) {
	if !r.newer.at.IsZero() && now.Sub(r.newer.at) < rateTime {
		return
	}
	s := useSample{at: now, uses: map[fleet.AccountID]Use{}}
	for id, u := range uses {
		if u.Used > 0 || u.Refused > 0 {
			s.uses[id] = u
		}
	}
	r.older, r.newer = r.newer, s
}

// Of returns the units used and the requests refused a second of an account with a use at a time.
func (r *Rates) Of(now time.Time, id fleet.AccountID, u Use) (used, refused float64) {
	s := r.older
	if s.at.IsZero() {
		s = r.newer
	}
	d := now.Sub(s.at).Seconds()
	if s.at.IsZero() || d <= 0 {
		return 0, 0
	}
	before := s.uses[id]
	return max(float64(u.Used-before.Used), 0) / d, float64(u.Refused-min(before.Refused, u.Refused)) / d
}
