// Package controlapi defines the procedures by which entry hosts and members of the control group call the group's leader, and
// a client that finds the leader from a few seeds.
//
// The Client is safe for concurrent use; the requests and responses are plain values.
package controlapi
