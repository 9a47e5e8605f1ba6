// Package demo runs the system at the size of an organisation with stand-ins in one process, goes through what it does in
// steps, and checks the invariants at the end.
package demo
