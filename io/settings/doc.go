// Package settings reads the YAML settings of one host and reports all their problems at once.
//
// Load returns the Settings of an entry host, LoadRouted those of a host that forwards requests by routes. A Reloader reloads TLS
// files and is safe for concurrent use.
package settings
