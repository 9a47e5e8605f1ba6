package quota

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Units is a number of requests or tokens, by the unit of the quota.
type Units int64

// MaxUnits bounds the units of one request and of a statement, so that sums can't overflow.
const MaxUnits Units = 1 << 48

// Cost returns the units of a request that names numbers of prompt and output tokens, 0 for none.
func Cost(q *routes.Quota, prompt, output fleet.Tokens) Units {
	named := min(max(prompt, 0), fleet.Tokens(MaxUnits)) + min(max(output, 0), fleet.Tokens(MaxUnits))
	return Units(min(q.Cost(named), float64(MaxUnits)))
}

// bounded returns n within the bounds of a statement.
func bounded(n Units) Units { return min(max(n, 0), MaxUnits) }

// Epoch identifies a Ledger. A later leadership has a higher one.
type Epoch uint64

// Call tells the leader of the credit that a host holds, and asks for more. A host has one call under way at a time.
type Call struct {
	// Epoch is the ledger whose credit the host holds; Held, Returned and Refunded refer to it alone.
	Epoch Epoch `cbor:"1,keyasint,omitempty"`
	// Process distinguishes the processes of a host, Number counts the calls of one process from 1 on.
	Process uint64 `cbor:"2,keyasint"`
	Number  uint64 `cbor:"3,keyasint"`
	// Taken is the number of the last call whose answer the host has applied. Credit of later answers is cancelled.
	Taken uint64 `cbor:"4,keyasint,omitempty"`
	// Accounts must contain each account of which the host holds credit.
	Accounts []Statement `cbor:"5,keyasint,omitempty"`
}

// Statement is what a host holds and wants under the quota of one client account.
type Statement struct {
	Account fleet.AccountID `cbor:"1,keyasint"`
	// Held is the credit that the host holds when it sends the call.
	Held Units `cbor:"2,keyasint,omitempty"`
	// Returned is the total of the epoch's credit that the host has given back unused, Refunded that of the requests that were admitted
	// and did not run. They are totals, so that a call that is lost or repeated does no harm.
	Returned Units `cbor:"3,keyasint,omitempty"`
	Refunded Units `cbor:"4,keyasint,omitempty"`
	// RefundFrom is the number of the last call before the admission of the first of the requests whose refund the leader has not
	// confirmed.
	RefundFrom uint64 `cbor:"5,keyasint,omitempty"`
	// Needs holds the units of the first requests that wait, in their order. They are not covered by Held.
	Needs []Units `cbor:"6,keyasint,omitempty"`
	// Expected is the credit beyond Needs that requests will soon need.
	Expected Units `cbor:"7,keyasint,omitempty"`
	// Refused is the total number of requests of the account that the process has refused.
	Refused uint64 `cbor:"8,keyasint,omitempty"`
}

// Answer is the answer to a Call.
type Answer struct {
	Epoch Epoch `cbor:"1,keyasint"`
	// Number is that of the call.
	Number uint64 `cbor:"2,keyasint"`
	// Ignored is set if the ledger has processed this call or a later one before, so that the answer says nothing.
	Ignored bool `cbor:"3,keyasint,omitempty"`
	// Interval is the least time from this call to the next one that isn't made for requests that wait.
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
	// Spacing is the least time from this call to the next one, also for requests that wait.
	Spacing time.Duration `cbor:"6,keyasint,omitempty"`
	// Grants holds one element for each Statement.
	Grants []Grant `cbor:"4,keyasint,omitempty"`
}

// Grant is the answer for one client account.
type Grant struct {
	Account fleet.AccountID `cbor:"1,keyasint"`
	// Units is lent in addition to what the host holds. It may be used, together with that, for Lifetime from the time at which the
	// host sent the call.
	Units    Units         `cbor:"2,keyasint,omitempty"`
	Lifetime time.Duration `cbor:"3,keyasint,omitempty"`
	// Denied is the first of the Needs that is not granted; it is expected to fit after RetryIn, or never with TooLarge.
	Denied   Units         `cbor:"4,keyasint,omitempty"`
	RetryIn  time.Duration `cbor:"5,keyasint,omitempty"`
	TooLarge bool          `cbor:"6,keyasint,omitempty"`
	// Waits is set with Denied if the requests should wait and ask again after RetryIn, since they may be within the quota.
	Waits bool `cbor:"8,keyasint,omitempty"`
	// Unsettled is set with Denied after a change of leader if the quota may have room, as far as the new leader has lent of it.
	Unsettled bool `cbor:"9,keyasint,omitempty"`
	// Unknown is set if the ledger can't decide now, since it doesn't know the account or its tables are full.
	Unknown bool `cbor:"7,keyasint,omitempty"`
}
