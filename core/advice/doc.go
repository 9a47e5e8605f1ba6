// Package advice chooses the entry hosts that callers of a model or service should use.
//
// An Adviser ranks its own copy of the hosts for a Target and returns the best ones as an Advice. It is not safe for concurrent
// use.
package advice
