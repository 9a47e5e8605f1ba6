package buffers

import (
	"cmp"
	"sync"

	"toucanway/core/fleet"
)

// DefaultLimit is the limit of a Budget that is given none.
const DefaultLimit fleet.Bytes = 64 << 20

const (
	// hardFactor is the multiple of its limit that a budget doesn't exceed with messages larger than SmallMessage, while those that were
	// given up have not been freed yet.
	hardFactor = 2
	// SmallMessage is the size up to which a message is not given up for others. Their number is bounded by that of connections.
	SmallMessage fleet.Bytes = 8 << 10
)

// Budget is the memory for all messages. The zero value has DefaultLimit.
type Budget struct {
	// Limit is the number of bytes from which on messages are given up; 0 stands for DefaultLimit.
	Limit fleet.Bytes

	mu sync.Mutex
	// used is the size of all accounts, revoked the part of it that belongs to messages which were given up.
	used, revoked fleet.Bytes
	accounts      map[*Account]bool
	revocations   int64
}

// Account is the memory of one message.
type Account struct {
	budget *Budget
	held   fleet.Bytes
	revoke func()
	// isRevoked is set once the message was given up.
	isRevoked bool
}

// Open opens an account. If its message is given up for another one, revoke is called once, without a lock held; it must make
// the message's owner close the account soon. Close must be called.
func (b *Budget) Open(revoke func()) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accounts == nil {
		b.accounts = map[*Account]bool{}
	}
	a := &Account{budget: b, revoke: revoke}
	b.accounts[a] = true
	return a
}

// Used returns the size of all messages and the number of those that were given up so far.
func (b *Budget) Used() (size fleet.Bytes, revocations int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.revocations
}

// Add adds bytes to a message, and reports whether it may be kept; otherwise it was given up.
func (a *Account) Add(n fleet.Bytes) bool {
	b := a.budget
	b.mu.Lock()
	if a.isRevoked {
		b.mu.Unlock()
		return false
	}
	limit := cmp.Or(b.Limit, DefaultLimit)
	if a.held+n > SmallMessage && b.used+n > hardFactor*limit {
		b.giveUp(a)
		b.mu.Unlock()
		return false
	}
	a.held += n
	b.used += n
	var largest *Account
	if b.used-b.revoked > limit {
		if largest = b.largest(); largest != nil {
			b.giveUp(largest)
		}
	}
	b.mu.Unlock()
	switch largest {
	case nil:
		return true
	case a:
		return false
	default:
		largest.revoke()
		return true
	}
}

// largest returns the largest account of a message that was not given up and isn't small, or nil; b.mu is held.
func (b *Budget) largest() *Account {
	var largest *Account
	for a := range b.accounts {
		if !a.isRevoked && a.held > SmallMessage && (largest == nil || a.held > largest.held) {
			largest = a
		}
	}
	return largest
}

// giveUp marks a message as given up; b.mu is held.
func (b *Budget) giveUp(a *Account) {
	a.isRevoked = true
	b.revoked += a.held
	b.revocations++
}

// SetSize changes the size of a message, and reports whether it may be kept.
func (a *Account) SetSize(n fleet.Bytes) bool {
	a.budget.mu.Lock()
	grown := n - a.held
	if grown <= 0 && !a.isRevoked {
		a.held += grown
		a.budget.used += grown
		a.budget.mu.Unlock()
		return true
	}
	a.budget.mu.Unlock()
	return a.Add(grown)
}

// IsRevoked reports whether the message was given up.
func (a *Account) IsRevoked() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.isRevoked
}

// Close frees the memory of the message. Further calls do nothing.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accounts[a] {
		return
	}
	delete(b.accounts, a)
	b.used -= a.held
	if a.isRevoked {
		b.revoked -= a.held
	}
	a.held = 0
}
