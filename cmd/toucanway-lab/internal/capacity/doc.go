// Package capacity measures how state, messages and CPU time grow with size, and extrapolates them to the target of
// section 1.7 of the design page.
package capacity
