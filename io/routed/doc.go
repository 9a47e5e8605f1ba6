// Package routed assembles the two processes of a deployment that forwards requests by routes: gateways, which accept callers'
// requests, and controllers, which form the control group. The platform-dependent parts are passed in as an Adapter.
package routed
