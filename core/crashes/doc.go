// Package crashes infers which content of requests crashes backend servers: a part of their prompts, or a whole request that comes
// again.
//
// Each entry host keeps an Evidence: which contents its requests in flight had at servers that crashed, and which contents it has
// seen answered. The leader's Detector combines the reports of all hosts and lists contents, whose requests all hosts refuse. None
// of the types is safe for concurrent use.
package crashes
