// Package dispatch sends requests of callers to backend servers: it finds a replica, waits for a slot, sends the request,
// forwards the answer, and resumes or refuses the request if an attempt fails.
//
// A Dispatcher does this for one host and is safe for concurrent use. Its policy makes the decisions under one lock.
package dispatch
