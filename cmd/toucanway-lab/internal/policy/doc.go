// Package policy compares request policies with baselines in a seeded discrete-event simulation. It runs the routing, queueing
// and capacity code of core against simulated backend servers.
package policy
