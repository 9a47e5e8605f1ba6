// Package organisation compares the policies of the daemon with simpler ones in the same daemon, under the calls of an example
// organisation on loopback TCP.
package organisation
