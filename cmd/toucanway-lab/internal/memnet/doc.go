// Package memnet is an in-memory network of many hosts in one process, with delays, bandwidth limits and cuts on the
// links between them. It starts no goroutine of its own and blocks on condition variables and timers only, so that it
// can be used in testing/synctest bubbles.
//
// A connection behaves as with TCP: a cut link delivers nothing and reports no error. Bytes written meanwhile are delivered
// once the link is restored, unless the connection was closed.
//
// Lock order: stream, then link, then Network.
package memnet
