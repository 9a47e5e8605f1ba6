package quota

import "time"

// Times of credit.
const (
	// Lifetime is the time for which a host may use credit after it has sent the call. The ledger counts credit for countMargin longer,
	// which covers the drift of the clocks, from the time of its answer on.
	Lifetime    = 5 * time.Second
	countMargin = time.Second
	// BriefLifetime replaces Lifetime for credit that is granted for waiting requests only, and during a takeover. A host uses it at once
	// and doesn't have to say so with another call, since the ledger takes it for used after briefMargin more. It has to exceed a
	// round trip between regions (24 ms) and the delays of a slow host; credit that arrives later is cancelled and asked for again.
	BriefLifetime = 400 * time.Millisecond
	briefMargin   = 100 * time.Millisecond
	// takeoverTime is the time after the begin of a leadership until which credit of earlier ledgers may be used, takeoverDelay that of
	// the credit of earlier takeovers.
	takeoverTime  = Lifetime + countMargin
	takeoverDelay = BriefLifetime + briefMargin
	// intervalPerHolder is the least time between calls of a host that no request waits for, divided by the number of hosts, so that the
	// leader has at most 1,000 of these calls a second.
	intervalPerHolder = time.Millisecond
	// Beyond freeHolders hosts, calls for requests that wait are spaced by spacingPerHolder for each further one, which keeps the leader
	// below 3,000 calls a second at 1,300 hosts. Up to freeHolders a request waits for a round trip at most.
	freeHolders      = 400
	spacingPerHolder = 500 * time.Microsecond
)

// Bounds of a Ledger's tables and of the calls.
const (
	// maxHolders bounds the processes of hosts; a call of a further one gets no credit. 1,300 hosts may restart twice within holderTime.
	maxHolders = 4096
	// maxCredits bounds the pairs of a process and an account, at about 200 bytes each; further ones get no credit.
	maxCredits = 1 << 16
	// maxStatements bounds the accounts of a call, maxNeeds the requests of an account in it. Further ones are stated in the next call.
	maxStatements = 1024
	maxNeeds      = 64
	// holderTime is the time after the last call of a process at which it is forgotten.
	holderTime = 30 * time.Second
	// maxSpares bounds what an account remembers of its spare claims, maxCallTimes the calls of which a process's times are known, at
	// 16 bytes each. Requests that were admitted before these calls, more than ten seconds ago at the usual rates, are not refunded.
	maxSpares    = 64
	maxCallTimes = 128
)

// limits are the bounds of one account, as the package comment explains them.
type limits struct {
	rate float64
	// claim is the largest claim, outstanding the largest amount of credit that hosts hold, takeover the largest claim of a takeover.
	claim, outstanding, takeover float64
}

// limits returns the bounds for a quota.
func (t Tolerance) limits(rate, burst float64) limits {
	u := t.usable(rate, burst)
	return limits{rate: rate, claim: burst + u, outstanding: burst + u/2, takeover: u / 2}
}
