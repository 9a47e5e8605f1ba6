// Package members runs the failure detector of an entry host and sends its messages as calls between hosts.
//
// A Service holds the detector under its lock and is safe for concurrent use.
package members
