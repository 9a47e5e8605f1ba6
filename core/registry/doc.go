// Package registry keeps the state that backend servers report in their heartbeats. Heartbeats may arrive late, twice and out of
// order, even after their sender has ended and another server has taken its id or address. The registry follows the newest
// incarnation and keeps tombstones of ended ones, so that a late heartbeat can't bring an older one back.
//
// A Registry holds the newest Instance of each backend server. It reads no clock and is not safe for concurrent use.
package registry
