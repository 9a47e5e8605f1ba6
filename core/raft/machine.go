package raft

import "toucanway/core/fleet"

// GroupID numbers the raft groups of a deployment; group 0 is the control group, the others hold the ledger.
type GroupID uint32

// StateMachine is what a group replicates.
type StateMachine interface {
	// Apply carries out one committed entry and returns its encoded result; it must be deterministic.
	Apply(index fleet.Index, data []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one taken at the index.
	Restore(index fleet.Index, data []byte) error
}
