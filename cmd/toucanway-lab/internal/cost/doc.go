// Package cost measures what the assembled daemon spends on tokens, streams, control traffic, ledger commits and documents,
// on loopback TCP in this process.
package cost
