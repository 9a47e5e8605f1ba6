// Package fleet defines the types that the other packages share: ids, units, places, backend servers with their inventories
// and orders, and refusals.
//
// All of them are plain values without locks.
package fleet
