// Package relay lets one host of a data centre follow the control leader for the others.
//
// A relay answers polls from its own copy of the log and passes on the leader's grants of session leases. It grants
// nothing itself: each grant answers one request that the host had sent before the relay sent its batch to the leader,
// so that the host's lease, counted from its own request, ends before the leader's count of it. A grant is delivered
// only with the log up to the index that the leader had applied when it granted.
package relay
