// Package checker checks the history of a run for violations of invariants I1 to I9 of the design page.
package checker
