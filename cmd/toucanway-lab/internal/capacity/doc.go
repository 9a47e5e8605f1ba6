// Package capacity measures how state size, message size and CPU time grow with the size of a deployment, and extrapolates
// them to the target size of section 1.7 of the design page.
package capacity
