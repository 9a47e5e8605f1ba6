// Package dispatch sends requests of callers to backend servers: it finds a replica, waits for a slot, sends the request,
// passes the answer on, and resumes or refuses the request if an attempt fails.
package dispatch
