// Package engines is the client of model engines, with streamed completions, cancellation, inventories and orders. It also serves
// the HTTP paths to which backend servers post announcements, leaves, load reports and cache events.
package engines
