// Package engine is a stand-in model engine: it speaks the engines' protocol over HTTP on any network and keeps account
// of its memory, its batch, its prefix cache and its loads, with switches for the faults of real engines.
//
// Lock order: backend.Lives, then Engine, then process.
package engine
