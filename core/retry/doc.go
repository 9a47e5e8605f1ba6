// Package retry bounds repeated work: a retry budget for the retries and hedges of each tenant, backoff with full jitter, hedges
// after a percentile of the time to first token, and the joining of several attempts into one stream.
package retry
