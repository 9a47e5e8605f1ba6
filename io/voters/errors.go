package voters

import (
	"github.com/joomcode/errorx"

	"toucanway/core/raft"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("voters")

// Types of errors.
var (
	// ErrSettings reports settings that no group can run with.
	ErrSettings = Errors.NewType("settings")
	// ErrStopped reports a group whose Run has ended or hasn't begun. If Propose or a membership method returns it, nothing
	// was appended to the log.
	ErrStopped = Errors.NewType("stopped")
)

// NotLeader is the error for a request that only the leader carries out; it names the leader if known. Unless it is the
// cause of an Uncertain, nothing was appended to the log.
type NotLeader = raft.NotLeader

// Uncertain reports a proposal that was appended to the log and whose result is not known.
type Uncertain struct {
	// MayCommit says whether the entry may still be committed; if not, it never will be.
	MayCommit bool
	// Cause is why there is no result.
	Cause error
}

// Error returns the outcome and the cause.
func (e *Uncertain) Error() string {
	if e.MayCommit {
		return "voters: the entry may still be committed, send it again under the same sequence number: " + e.Cause.Error()
	}
	return "voters: the entry was not committed and never will be, send it again: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Uncertain) Unwrap() error { return e.Cause }

// MayCommit reports whether the entry of a failed Propose may still be committed.
func MayCommit(err error) bool {
	u, ok := errorAs[*Uncertain](err)
	return ok && u.MayCommit
}
