package membership

import (
	"time"

	"toucanway/core/fleet"
)

// Effect is an action that the caller of the Detector has to carry out. The types below are all implementations.
type Effect interface{ isEffect() }

// Send asks the caller to send a message to the host at an address. The caller must then call exactly one of
// Detector.Answer and Detector.Failed, no later than Timeout after the Send.
type Send struct {
	Call    uint64
	To      fleet.HostID
	Address string
	Message Message
	Timeout time.Duration
}

// Reply answers the request that was passed to Detector.Receive with the same number.
type Reply struct {
	Request uint64
	Message Message
}

// StateChanged reports a new state or a new incarnation of a host.
type StateChanged struct {
	Member Member
	Was    State
}

// PathChanged reports that a live host started or stopped answering direct probes.
type PathChanged struct {
	Host fleet.HostID
	Path Path
}

func (Send) isEffect()         {}
func (Reply) isEffect()        {}
func (StateChanged) isEffect() {}
func (PathChanged) isEffect()  {}
