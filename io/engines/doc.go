// Package engines is the client of model engines, with streamed completions, cancellation, inventories and orders. It also serves
// the HTTP paths to which backend servers post announcements, leaves, load reports and cache events.
//
// The Client is safe for concurrent use. A BackendHandler passes what is posted to a Registry, which must be safe for concurrent
// use, too.
package engines
