// Package ledgers sends commands to the ledger groups, which hold the records of non-idempotent requests, and maintains
// the groups that this host leads.
//
// A Client sends the commands of a host and is safe for concurrent use; a Maintainer maintains one group.
package ledgers
