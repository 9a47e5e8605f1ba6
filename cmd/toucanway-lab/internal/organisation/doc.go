// Package organisation measures the daemon under the calls of an organisation against simpler policies in the same daemon,
// on loopback TCP.
package organisation
