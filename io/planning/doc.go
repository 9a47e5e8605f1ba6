// Package planning runs the placement planner on the control leader. It receives the demand reports of all hosts and commits
// the planner's decisions.
//
// A Service does this on the leader. On every host, a Reporter counts the requests and sends the reports. Both are safe for
// concurrent use.
package planning
