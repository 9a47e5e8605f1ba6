// Package planning runs the placement planner on the control leader. It receives the demand reports of all hosts and commits
// the planner's decisions.
package planning
