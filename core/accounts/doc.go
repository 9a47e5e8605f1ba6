// Package accounts finds client accounts by their keys, and decides whether a host may serve them while it has no contact with the control
// group.
package accounts
