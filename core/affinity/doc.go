// Package affinity keeps at which software version of a service each resumable stream has begun, since a stream can go on only there.
//
// Gateways record the streams that they begin at a few members of the control group, which Holders chooses by the stream's id, so that any
// gateway finds them, also after the loss of the one that began the stream.
//
// A Table reads no clock and is not safe for concurrent use.
package affinity
