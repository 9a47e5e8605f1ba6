// Package groups runs the raft groups of a voter, which are the control group and the ledger groups, and transfers their
// messages and proposals between hosts.
//
// A Set holds the groups; Open opens them all, and Run runs them.
package groups
