// Package store stands in for the weight store that backend servers load checkpoints and adapters from. It allows a
// number of starts a second and a number of transfers at full speed; more transfers share that speed.
package store
