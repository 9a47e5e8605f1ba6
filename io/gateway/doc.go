// Package gateway is an entry host's part between callers and backend servers: it reads requests, finds their route, chooses a
// backend server, passes the request on and its answer back, and sends it again where the route allows it.
//
// Each caller's connection has one goroutine that reads it, also while a request is served, so that a caller that goes away
// is noticed at once, and one goroutine for each request.
//
// Lock order: View.mu and Server.mu are never held together.
package gateway
