// Package ownership assigns a capacity owner to every backend server.
//
// Assign computes the assignments from the control state and keeps no state between calls.
package ownership
