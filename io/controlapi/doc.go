// Package controlapi defines the procedures by which entry hosts and members of the control group call the group's leader, and
// a client that finds the leader from a few seeds.
package controlapi
