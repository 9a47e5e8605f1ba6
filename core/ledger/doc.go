// Package ledger is the replicated state machine that makes non-idempotent requests run at most once.
//
// A request is dispatched only after its dispatch record is committed, and its answer is committed before it is sent to
// the caller. Apply is deterministic and reads no clock: the age of records is measured by Advance commands of the
// group's leader.
package ledger
