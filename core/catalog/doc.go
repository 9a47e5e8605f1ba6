// Package catalog implements the replicated state of a deployment that forwards requests by routes: the configuration in force,
// the host that sends orders to backend servers, the software versions of each service, and the backend servers that drain or have
// left.
//
// Apply is deterministic and doesn't read the clock. A configuration is replaced only by one with a higher version.
//
// A Machine applies Commands to a State; neither is safe for concurrent use.
package catalog
