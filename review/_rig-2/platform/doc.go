// Command rig plays the cases of the second review: it starts controllers and gateways as separate processes on loopback addresses, with
// stand-ins for backend servers, operators and callers, and checks one rule from what these see.
package main
