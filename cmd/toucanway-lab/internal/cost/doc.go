// Package cost measures the CPU time, latency, memory, traffic and disk space that a deployment needs for tokens, streams,
// control messages, ledger commits and configuration documents. The hosts run in this process and communicate over loopback TCP.
package cost
