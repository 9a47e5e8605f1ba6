// Package retry bounds repeated work: a retry budget for the retries and hedges of each tenant, backoff with full jitter, hedges
// after a percentile of the time to first token, and the joining of several attempts into one stream.
//
// A Budget, Hedges and a Stream implement these; Repetitions recognises requests that callers repeat. None of these types is safe
// for concurrent use.
package retry
