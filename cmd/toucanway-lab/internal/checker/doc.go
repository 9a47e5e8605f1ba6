// Package checker judges from the history of a run whether invariants I1 to I9 of the design page held.
package checker
