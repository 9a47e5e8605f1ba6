package raft

import "toucanway/core/fleet"

// GroupID numbers the raft groups of a deployment; group 0 is the control group, the others hold the request ledger.
type GroupID uint32

// StateMachine is the state that a group replicates.
type StateMachine interface {
	// Apply applies one committed entry and returns its encoded result; it must be deterministic.
	Apply(index fleet.Index, data []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by the encoded state taken at the index.
	Restore(index fleet.Index, data []byte) error
}
