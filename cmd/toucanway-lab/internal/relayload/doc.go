// Package relayload runs a control leader, relays and followers on an in-memory network, and computes the traffic of
// polls with and without relays.
package relayload
