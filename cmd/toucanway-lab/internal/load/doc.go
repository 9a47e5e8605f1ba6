// Package load sends planned requests at their intended times, whatever becomes of earlier ones, and measures latency
// from those times, so that a system that stalls is charged for the requests that it kept waiting.
package load
