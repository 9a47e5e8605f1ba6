// Package sessions serves the polls of hosts (the Follow procedure) on the control leader: it renews session leases, closes
// sessions whose lease ended, removes backend servers that no longer announce themselves, and answers a submitted
// configuration once it is in force on every host with a lease.
//
// A Service does this on every voter, but answers polls only while its host leads. It is safe for concurrent use.
package sessions
