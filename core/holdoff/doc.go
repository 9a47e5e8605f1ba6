// Package holdoff records which backend servers take no requests from this host, by what they say in their answers.
//
// A Table reads no clock and is not safe for concurrent use.
package holdoff
