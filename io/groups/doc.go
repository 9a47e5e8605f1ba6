// Package groups runs the raft groups of a voter, which are the control group and the ledger groups, and transfers their
// messages and proposals between hosts.
package groups
