// Package balance chooses the backend server for a request by the expected time to its first byte: what this host has under way
// at each server, what other hosts told of theirs, prompt prefixes that were sent there before, distance, and how fast and
// reliable the server was of late.
package balance
