package quota

import (
	"time"

	"toucanway/core/fleet"
)

// holderKey names a process of a host.
type holderKey struct {
	host    fleet.HostID
	process uint64
}

// holder is the state of a process of a host.
type holder struct {
	last    uint64
	seenAt  time.Time
	credits map[fleet.AccountID]*credit
	// times holds the last calls, of which last is the newest.
	times []callTime
	// resumed is set if the process has taken credit of this ledger before this record was created, so that its totals are not known.
	resumed bool
}

// callTime is the time at which a call was processed.
type callTime struct {
	number uint64
	at     time.Time
}

// settledAt returns the earliest time at which units may have been settled that were admitted after the begin of a call and before that of
// the next one: that of the next call, or of the end of their credit. It returns false if that is too long ago.
func (h *holder) settledAt(number uint64) (time.Time, bool) {
	var at time.Time
	for i := len(h.times) - 1; i >= 0; i-- {
		t := h.times[i]
		if t.number <= number {
			if end := t.at.Add(BriefLifetime + briefMargin); at.IsZero() || end.Before(at) {
				at = end
			}
			return at, true
		}
		at = t.at
	}
	return time.Time{}, false
}

// credit is what a process of a host may hold of one account's credit.
type credit struct {
	account *account
	// held is what the process has stated and may still hold, pending what the answer to its last call lends.
	held, pending Units
	until         time.Time
	// index is the position in Ledger.expiring, or -1.
	index int
	// returned, refunded and refused are the totals of the last statement.
	returned, refunded Units
	refused            uint64
	// statedIn is the number of the last call with a statement for the account.
	statedIn uint64
	// waits is set while the host waits for wants units, until waitsUntil, after a number of denials in a row.
	waits      bool
	wants      Units
	denials    int
	waitsUntil time.Time
}

// creditHeap orders credit by its end.
type creditHeap []*credit

func (h creditHeap) Len() int           { return len(h) }
func (h creditHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h creditHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *creditHeap) Push(x any) {
	k := x.(*credit)
	k.index = len(*h)
	*h = append(*h, k)
}

func (h *creditHeap) Pop() any {
	old := *h
	k := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	k.index = -1
	return k
}
