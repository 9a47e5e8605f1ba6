// Package orders carries out replica decisions on the owner's side. For one backend server, it sends the orders that follow
// from the control records, reports their outcomes, and settles orders in doubt by inventories.
//
// It relies on three properties of backend servers and the network:
//   - A process carries out an order id at most once, so that a repeated order has no effect.
//   - An order reaches the incarnation of the backend server to which its connection was opened, or none.
//   - If an engine does not show the current fence in its inventory, an order arrives within MaxOrderDelay or not at all.
//     If it does show the fence, it refuses orders with an older fence however late they arrive.
//
// An Owner does this for one backend server. Its caller passes the control state and the outcomes to it, and carries out the
// Effects that Step returns. It is not safe for concurrent use.
package orders
