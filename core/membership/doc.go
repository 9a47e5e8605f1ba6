// Package membership detects failures among entry hosts at a cost per host that does not grow with their number.
//
// Each host probes one other host a second, asks three others to probe in its place when no answer comes, suspects the
// host when theirs fails as well, and takes it for dead when it does not refute the suspicion in time. Changes travel
// on the probes and their answers; a digest on each of them finds what was missed.
//
// Whether a host may act is decided by its session lease alone; membership only tells which hosts are worth calling.
package membership
