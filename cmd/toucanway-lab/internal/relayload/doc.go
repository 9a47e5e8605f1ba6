// Package relayload runs a control leader, relays and followers on an in-memory network, and computes what polls cost
// with and without relays.
package relayload
