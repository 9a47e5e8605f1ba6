// Package engine simulates a model engine. It serves the engines' HTTP protocol on any network, models memory, batching, the
// prefix cache and model loads, and can inject the faults of real engines.
//
// Lock order: backend.Supervisor, then Engine, then process.
package engine
