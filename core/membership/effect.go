package membership

import (
	"time"

	"toucanway/core/fleet"
)

// Effect is what the caller has to carry out; the types below are all of them.
type Effect interface{ isEffect() }

// Send calls the host at an address. Exactly one of Detector.Answer and Detector.Failed must follow, the latter after
// Timeout at the latest.
type Send struct {
	Call    uint64
	To      fleet.HostID
	Address string
	Message Message
	Timeout time.Duration
}

// Reply answers the request that Detector.Receive was given under the same number.
type Reply struct {
	Request uint64
	Message Message
}

// Changed reports a new state or a new life of a host.
type Changed struct {
	Member Member
	Was    State
}

// PathChanged reports that a live host began or ceased to answer direct probes.
type PathChanged struct {
	Host fleet.HostID
	Path Path
}

func (Send) isEffect()        {}
func (Reply) isEffect()       {}
func (Changed) isEffect()     {}
func (PathChanged) isEffect() {}
