// Package live starts a deployment of one of the organisations at its real size on loopback TCP, with the delays between
// its regions added by a wrapper of the network.
package live
