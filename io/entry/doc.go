// Package entry assembles one entry host: the interfaces for callers, backend servers, other hosts and operators, the
// copy of the control state, the owned backend servers and, on a voter, the raft groups and the planner.
//
// New assembles a Host; its method Run starts the parts, serves, and drains the host at the end.
package entry
