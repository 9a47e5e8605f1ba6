// Package ledger is the replicated state machine that makes non-idempotent requests run at most once.
//
// A request is dispatched only after its dispatch record is committed, and its answer is committed before it is sent to
// the caller. Apply is deterministic and reads no clock: the leader of the group reports the elapsed time, by which records
// age, in Advance commands.
package ledger
