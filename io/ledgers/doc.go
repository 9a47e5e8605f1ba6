// Package ledgers calls the ledger groups that hold the records of non-idempotent requests, and keeps the groups that
// this host leads up to date.
package ledgers
