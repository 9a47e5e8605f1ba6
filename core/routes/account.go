package routes

import (
	"crypto/sha256"

	"toucanway/core/fleet"
)

// KeyHash is the hash of a key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// MaxKeyBytes is the size of the longest key, which bounds the time to look up what a caller sends as one.
const MaxKeyBytes = 256

// HashKey returns the hash of a key.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Account is a client account, in whose name callers with one of its keys send requests.
type Account struct {
	Name fleet.AccountID
	Keys []KeyHash
	// Priority ranks the requests of the account in place of the route's priority; it counts only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Quota bounds what the account may send over all hosts.
	Quota Quota
}

// Quota is a token bucket that bounds the requests of a client account over all hosts.
type Quota struct {
	// Rate is the number of units a second, Burst the number of unused units that are kept; a Rate of 0 means no quota.
	Rate, Burst float64
	// Tokens is set if a unit is a token, unset if it is a request.
	Tokens bool
	// PlainTokens is the number of tokens for which a request counts that names none.
	PlainTokens fleet.Tokens
}

// Limited reports whether there is a quota.
func (q *Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the number of units for which a request counts that names a number of tokens, 0 if it names none.
func (q *Quota) Cost(named fleet.Tokens) float64 {
	switch {
	case !q.Tokens:
		return 1
	case named > 0:
		return float64(named)
	default:
		return float64(q.PlainTokens)
	}
}

// checkAccounts returns an ErrInvalid that describes the first contradiction among the client accounts, or nil.
func (c *Configuration) checkAccounts() error {
	names := make(map[fleet.AccountID]bool, len(c.Accounts))
	owners := map[KeyHash]fleet.AccountID{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		switch {
		case a.Name == "":
			return ErrInvalid.New("a client account has no name; give it one")
		case names[a.Name]:
			return ErrInvalid.New("two client accounts have the name %q; rename one of them", a.Name)
		case !(a.Quota.Rate >= 0) || !(a.Quota.Burst >= 0) || a.Quota.PlainTokens < 0:
			return ErrInvalid.New("the quota of client account %q is negative; set it to 0 or more", a.Name)
		}
		names[a.Name] = true
		for _, k := range a.Keys {
			if other, ok := owners[k]; ok && other != a.Name {
				return ErrInvalid.New("client accounts %q and %q share a key; remove it from one of them", other, a.Name)
			}
			owners[k] = a.Name
		}
	}
	return nil
}
