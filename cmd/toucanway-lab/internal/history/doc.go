// Package history records the events of one run at callers, entry hosts, backend servers and operators. Package checker reads
// them afterwards.
package history
