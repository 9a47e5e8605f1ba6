package accounts

import (
	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Directory finds the client accounts of one configuration by their keys, of which it keeps only the hashes. It is safe for concurrent
// use; the zero value and nil have no accounts.
type Directory struct {
	owners map[routes.KeyHash]*routes.Account
}

// New returns a directory of client accounts, which must not be changed afterwards. The error is a routes.ErrInvalid if two accounts share
// a key.
func New(accounts []routes.Account) (*Directory, error) {
	keys := 0
	for i := range accounts {
		keys += len(accounts[i].Keys)
	}
	d := &Directory{owners: make(map[routes.KeyHash]*routes.Account, keys)}
	for i := range accounts {
		a := &accounts[i]
		for _, k := range a.Keys {
			if other := d.owners[k]; other != nil && other.Name != a.Name {
				return nil, routes.ErrInvalid.New("client accounts %q and %q share a key; remove it from one of them", other.Name, a.Name)
			}
			d.owners[k] = a
		}
	}
	return d, nil
}

// Find returns the account that owns a key, or nil. It doesn't allocate, and its time depends neither on the number of keys nor on which
// of them are similar to the given one.
func (d *Directory) Find(key []byte) *routes.Account {
	if d == nil || len(d.owners) == 0 || len(key) == 0 || len(key) > routes.MaxKeyBytes {
		return nil
	}
	return d.owners[routes.HashKey(key)]
}

// Keys returns the number of keys.
func (d *Directory) Keys() int {
	if d == nil {
		return 0
	}
	return len(d.owners)
}

// Name returns the name of an account, or the empty name for nil.
func Name(a *routes.Account) fleet.AccountID {
	if a == nil {
		return ""
	}
	return a.Name
}

// Priority returns the priority of an account's requests on a route with a given priority; the account may be nil.
func Priority(a *routes.Account, route int) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}
	return route
}
