// Package store simulates the weight store that backend servers load checkpoints and adapters from. It limits the rate at
// which checkpoint loads start and the number of transfers at full speed; more transfers share that bandwidth.
package store
