// Package history records what callers, entry hosts, backend servers and operators did in one run, as the checker reads
// it afterwards.
package history
