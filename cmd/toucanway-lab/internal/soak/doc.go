// Package soak runs the real gateways and controllers as separate processes on loopback addresses, injects faults from outside,
// and checks the guarantees of the product by what callers, backend servers and operators observe.
//
// Faults are injected one after another and overlap: processes are killed, stopped, paused and started again, data folders are
// emptied, connections between controllers are delayed, reset, silenced or cut one way by a proxy, and backend servers crash,
// drain and lose answers. Only processes that the run has started are signalled, by their ids.
package soak
