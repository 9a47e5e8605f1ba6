// Package backend holds the parts that simulated engines and services share: starting, crashing and restarting the process,
// announcements to entry hosts, and fault injection.
package backend
