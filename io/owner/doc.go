// Package owner runs the capacity tables and the orders of the backend servers that this host owns.
//
// Ownership lasts while the host's session lease stands and the control state names the host under the same fencing
// token. Jobs that wait for the network run in goroutines of one group; their number is bounded by the tables: one
// inventory read and one job an order record and an adapter load.
package owner
