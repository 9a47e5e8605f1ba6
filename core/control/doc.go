// Package control is the replicated state machine of the control group: configuration documents, sessions of hosts,
// backend servers and their owners, replica decisions with their orders, and crash records of requests.
//
// Apply is deterministic and reads no clock. Limits of replicas and memory are checked here, when a committed command is
// applied, so that no planner can exceed them.
//
// A Machine applies Proposals, which contain Commands, to a State; neither is safe for concurrent use.
package control
