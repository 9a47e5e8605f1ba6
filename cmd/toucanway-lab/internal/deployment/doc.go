// Package deployment starts the entry hosts and stand-in backend servers of a deployment in one process, on the loopback
// interface or on an in-memory network.
package deployment
