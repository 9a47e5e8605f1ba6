// Package demo runs a deployment of the size of one of the organisations, with stand-in backend servers, in one process. It
// demonstrates the system in steps and checks the invariants at the end.
package demo
