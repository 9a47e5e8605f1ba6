// Package placement decides which models are loaded on which backend servers and which host owns each backend server.
//
// Planner runs on the control leader. It reads a control.State, demand reports of entry hosts, inventories and measured
// load times, and proposes control commands once a round. Every rule that must hold in spite of planner errors is
// checked by core/control at commit; the planner repeats none of its state and starts empty after a change of leader.
package placement
