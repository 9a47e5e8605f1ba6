// Package load is an open-loop load generator: it sends planned requests at their intended times without waiting for earlier
// ones. Latency is measured from the intended times, so that the wait during a stall of the system counts (no coordinated
// omission).
package load
