// Package policy compares request policies with baselines: it drives the aggregates of core over fake backend servers in one
// seeded event loop.
package policy
