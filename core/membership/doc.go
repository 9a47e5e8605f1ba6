// Package membership detects failures among entry hosts at a cost per host that does not grow with their number.
//
// Each host probes one other host per second. When no answer comes, it asks three others to probe that host. When their
// probes fail too, it suspects the host, and marks it dead if it does not refute the suspicion in time. State changes are
// piggybacked on probes and answers; each message also carries a digest of the table, which reveals changes that were
// missed. The design resembles SWIM with the Lifeguard extensions.
//
// Only the session lease decides whether a host may act. Membership is a hint on which hosts are likely to answer.
//
// A Detector does no I/O: it returns Effects for its caller to carry out. It is not safe for concurrent use.
package membership
