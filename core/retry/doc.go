// Package retry bounds repeated work: one budget for retries and hedges of a tenant, backoff with full jitter, hedging
// after the usual time to the first token, and resume points of streams.
package retry
