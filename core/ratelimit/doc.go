// Package ratelimit keeps the rate limits that backend servers name in their answers, which hold for the sum of all hosts.
//
// Notices holds what servers have told one entry host until the leader of the control group knows it. With Buckets the leader
// grants single requests to servers with a limit. Turns replace such grants on a host that the leader doesn't answer.
//
// The types read no clock and are not safe for concurrent use.
package ratelimit
