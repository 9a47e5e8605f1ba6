// Package registry keeps what backend servers say of themselves in their heartbeats. Heartbeats arrive late, twice and out of
// order, also after their sender has ended and another one has taken its id or address; the registry follows the newest
// incarnation and forgets nothing that would let an older one return.
package registry
