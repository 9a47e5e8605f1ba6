// Package voters runs raft groups between the hosts of a deployment: it connects the state machine of core/raft with a
// storage, a transport and the replicated state machine.
//
// A Group has one loop that steps the raft node, saves its output, sends messages and applies entries, and one sender for
// each other member, so that a member that doesn't respond delays no other. All of them end with the context of Run.
//
// Lock order: Group.applyMu, then Group.mu.
package voters
