// Package groups runs the raft groups of a voter, the control group and the ledger groups, and carries their messages
// and proposals between hosts.
package groups
