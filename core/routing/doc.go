// Package routing chooses the backend server for a request by the expected time to its first token, from load reports that
// lag, cache events that get lost, and the host's own observations.
package routing
