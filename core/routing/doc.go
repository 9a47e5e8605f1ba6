// Package routing chooses the backend server for a request by the expected time to first token. The estimate comes from load
// reports, which arrive late, cache events, some of which are lost, and the host's own observations.
//
// Each entry host has one Router, to which reports, events and observations are passed. It is not safe for concurrent use.
package routing
