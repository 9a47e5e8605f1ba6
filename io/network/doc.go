// Package network opens the connections of a host: it listens on and dials from the configured address only.
//
// Network is the interface, TCP its implementation. A Clock measures time across suspensions of the host.
package network
