// Package sessions is the control leader's side of Follow: it renews session leases, closes sessions whose lease ended,
// and answers a submitted configuration once it is in force on every host with a lease.
package sessions
