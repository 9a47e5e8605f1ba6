// Package placement decides which models are loaded on which backend servers and which host owns each backend server.
//
// Planner runs on the control leader. It reads a control.State, demand reports of entry hosts, inventories and measured
// load times, and proposes control commands in each round. Rules that must hold even if the planner has a fault are
// checked by core/control at commit. The planner keeps no copy of the control state that outlives a round's input, and a
// new leader starts with an empty planner.
package placement
