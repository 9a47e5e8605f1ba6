// Package orders is the owner's side of replica decisions: for one backend server it sends the orders behind the control
// records, takes their answers and settles doubt by inventories.
//
// It counts on three properties of backend servers and the network. A process carries out an order id at most once, so
// that a repeated order changes nothing. An order reaches the life of the backend server that its connection was opened
// to, or none. Where the engine does not show the present fence in its inventory, an order arrives within MaxOrderDelay or
// not at all; where it does, older orders are refused however late they arrive.
package orders
