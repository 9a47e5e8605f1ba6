// Package ledgers sends commands to the ledger groups, which hold the records of non-idempotent requests, and maintains
// the groups that this host leads.
package ledgers
