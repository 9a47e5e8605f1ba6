// Package relay lets one host of a data centre follow the control leader on behalf of the others.
//
// A relay answers polls from its own copy of the log and forwards the session leases that the leader grants. It never
// grants a lease itself: each grant answers one request that the host sent before the relay sent its batch to the
// leader. The host counts its lease from its own request, so the lease ends on the host before it ends on the leader.
// A grant is delivered only with the log up to the index that the leader had applied when it granted the lease.
//
// A Relay answers the polls of other hosts; a Poller sends a host's own polls to a relay or to the leader. Both are safe for
// concurrent use.
package relay
