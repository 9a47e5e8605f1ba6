// Package gateway is the reverse proxy of an entry host: it reads callers' requests, finds their route, chooses a backend server,
// forwards the request and its answer, and retries where the route allows it.
//
// Each caller's connection has one goroutine that reads from it, even while a request is served, so that a disconnect is detected
// immediately, and one goroutine for each request.
//
// Lock order: View.mu and server.mu are never held together.
package gateway
