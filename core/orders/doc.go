// Package orders is the owner's side of replica decisions: for one backend server it sends the orders behind the control
// records, takes their answers and settles doubt by inventories.
package orders
