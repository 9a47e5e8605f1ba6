// Package deployment starts entry hosts and stand-ins of one deployment in one process, on the loopback interface or on an
// in-memory network.
package deployment
