// Package live starts a deployment of one of the organisations at its real size in one process, on loopback TCP. A wrapper of
// the network adds the delays between hosts and between regions.
package live
