package hosts

import (
	"time"

	"toucanway/core/fleet"
)

// Procedures by which one host of a data centre, the relay, follows the control log on behalf of the others.
const (
	// ProcedureRelay carries a FollowRequest to a relay, which answers in place of the leader.
	ProcedureRelay = "/control.v1/Relay"
	// ProcedureRenew carries a RenewRequest from a relay to the leader.
	ProcedureRenew = "/control.v1/Renew"
)

// Renewal represents one FollowRequest that a host sent to a relay before the relay sent its batch.
type Renewal struct {
	Host        fleet.HostID               `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation          `cbor:"2,keyasint"`
	Applied     fleet.Index                `cbor:"3,keyasint"`
	Announced   []fleet.BackendIncarnation `cbor:"4,keyasint,omitempty"`
}

// RenewRequest asks for the session leases of hosts behind a relay.
type RenewRequest struct {
	Renewals []Renewal `cbor:"1,keyasint"`
}

// RenewResponse answers each renewal, in order.
type RenewResponse struct {
	Status Status       `cbor:"1,keyasint"`
	Leader fleet.HostID `cbor:"2,keyasint,omitempty"`
	// Applied is the leader's last applied index, read before the grants. A lease is valid only on a host that has the log
	// up to this index.
	Applied fleet.Index `cbor:"3,keyasint,omitempty"`
	Grants  []Grant     `cbor:"4,keyasint,omitempty"`
}

// Grant is the leader's answer to one renewal.
type Grant struct {
	Status Status        `cbor:"1,keyasint,omitempty"`
	Lease  time.Duration `cbor:"2,keyasint,omitempty"`
}

func (r *RenewResponse) status() (Status, fleet.HostID) { return r.Status, r.Leader }
