// Package catalog is the replicated state of a deployment that forwards requests by routes: the configuration in force, and
// which host orders backend servers.
//
// Apply is deterministic and reads no clock. A configuration is replaced only by one with a higher version.
package catalog
