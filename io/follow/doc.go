// Package follow keeps a host's copy of the control state and its session lease by long polls of the control leader.
//
// The lease counts from the moment a request was sent, so that it ends on the host before it ends on the leader. A host
// without lease takes no new work, since a newer configuration may be in force, and acts as owner of nothing.
package follow
