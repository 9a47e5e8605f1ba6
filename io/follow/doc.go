// Package follow maintains a host's copy of the control state and its session lease by long polling of the control
// leader.
//
// The lease is counted from the time at which the poll was sent, so that it ends on the host before it ends on the leader.
// A host without a lease accepts no new work, since a newer configuration may be in force, and doesn't act as the owner of
// any backend server.
package follow
