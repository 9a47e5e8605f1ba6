// Package owner grants the capacity and carries out the orders of the backend servers that this host owns.
//
// Ownership lasts as long as the host's session lease is valid and the control state names the host as the owner under the
// same fencing token. Jobs that wait for the network run in goroutines of one group. The tables bound their number: one
// inventory read, and one job per order record and adapter load.
package owner
