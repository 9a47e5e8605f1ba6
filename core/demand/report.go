package demand

import (
	"time"

	"toucanway/core/fleet"
)

// Report is one host's report of its waiting and running requests and of the calls since its last report.
type Report struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	// Seq orders the reports of one incarnation; older and repeated ones are dropped.
	Seq   uint64      `cbor:"3,keyasint"`
	Place fleet.Place `cbor:"4,keyasint"`
	// Entries lists targets with waiting requests, running requests or calls since the last report.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
}

// Entry is the demand of one target, class and region of callers.
type Entry struct {
	Target fleet.Target `cbor:"1,keyasint"`
	Class  fleet.Class  `cbor:"2,keyasint"`
	Region fleet.Region `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of requests that wait now, Running the number that run now.
	Waiting int `cbor:"4,keyasint,omitempty"`
	Running int `cbor:"5,keyasint,omitempty"`
	// Calls is the number of requests that arrived since the last report.
	Calls int `cbor:"6,keyasint,omitempty"`
	// TimeToDeadline is the time left until the earliest deadline of the waiting requests.
	TimeToDeadline time.Duration `cbor:"7,keyasint,omitempty"`
	// LongestWait is the time for which the oldest waiting request has waited.
	LongestWait time.Duration `cbor:"8,keyasint,omitempty"`
	// Alone is the number of requests that must run alone on a backend server, and not on the last replica of the model.
	Alone int `cbor:"9,keyasint,omitempty"`
}
