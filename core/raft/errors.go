package raft

import (
	"fmt"

	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("raft")

// Types of errors.
var (
	// ErrSettings reports settings that no group can run with.
	ErrSettings = Errors.NewType("settings")
	// ErrCorrupt reports a saved state that contradicts itself.
	ErrCorrupt = Errors.NewType("corrupt")
	// ErrMessage reports an invalid message; it was dropped.
	ErrMessage = Errors.NewType("message")
	// ErrBusy reports a request that has to wait for an earlier one; nothing was appended to the log.
	ErrBusy = Errors.NewType("busy")
	// ErrMember reports a membership change that conflicts with the current members; nothing was appended to the log.
	ErrMember = Errors.NewType("member")
)

// NotLeader is the error for a request that only the leader carries out; nothing was appended to the log.
type NotLeader struct {
	// Leader is the leader as far as this host knows, or empty.
	Leader fleet.HostID
}

// Error returns a message that names the known leader, if any.
func (e *NotLeader) Error() string {
	if e.Leader == "" {
		return "raft: this host is not the leader and knows none; try again after an election"
	}
	return fmt.Sprintf("raft: this host is not the leader; send the request to host %s", e.Leader)
}

// IsBusy reports whether a request was refused only because it has to wait for an earlier one.
func IsBusy(err error) bool { return errorx.IsOfType(err, ErrBusy) }
