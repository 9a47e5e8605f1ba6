// Package entry assembles one host: the interfaces for callers, backend servers, other hosts and operators, the copy of
// the control state, the owned backend servers and, on a voter, the raft groups with the planner.
package entry
