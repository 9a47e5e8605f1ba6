// Package directory decides which entry hosts callers are told to use. Fewer hosts than there are see more of the load each, hear
// of the others sooner and reuse their connections to backend servers; too few would not bear a burst or the loss of some.
//
// A Size follows the load of the data centres; Choose picks that number of hosts, the same ones on every controller.
package directory
