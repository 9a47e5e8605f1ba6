// Package routing chooses the backend server for a request by the expected time to first token. The estimate comes from load
// reports, which arrive late, cache events, some of which are lost, and the host's own observations.
package routing
