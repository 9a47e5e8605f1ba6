package controlapi

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// ProcedureAccounts reads the state of all client accounts.
const ProcedureAccounts = "/controller.v1/Accounts"

// AccountsRequest asks for the state of all client accounts.
type AccountsRequest struct{}

// AccountsResponse is the state of the client accounts of the configuration in force, in its order.
type AccountsResponse struct {
	Reply         Reply          `cbor:"1,keyasint,omitempty"`
	Configuration routes.Version `cbor:"2,keyasint,omitempty"`
	// Counted is the time for which this leader has led. Use and refusals are counted from its start on.
	Counted  time.Duration  `cbor:"3,keyasint,omitempty"`
	Accounts []AccountState `cbor:"4,keyasint,omitempty"`
}

func (r *AccountsResponse) reply() Reply { return r.Reply }

// AccountState is the state of one client account. Amounts are in units of its quota, but for refusals.
type AccountState struct {
	Account fleet.AccountID `cbor:"1,keyasint"`
	// Keys is the number of keys.
	Keys int `cbor:"2,keyasint,omitempty"`
	// Priority counts only if HasPriority is set.
	Priority    int  `cbor:"3,keyasint,omitempty"`
	HasPriority bool `cbor:"4,keyasint,omitempty"`
	// Rate and Burst are the quota, in units a second and units; a Rate of 0 means no quota. Tokens is set if a unit is a token.
	Rate   float64 `cbor:"5,keyasint,omitempty"`
	Burst  float64 `cbor:"6,keyasint,omitempty"`
	Tokens bool    `cbor:"7,keyasint,omitempty"`
	// Lent is the credit that entry hosts hold.
	Lent float64 `cbor:"8,keyasint,omitempty"`
	// UsedRate is in units a second over the last seconds, RefusedRate in requests a second. Used are the units and Refused the number of
	// requests since the leader leads.
	UsedRate    float64 `cbor:"9,keyasint,omitempty"`
	RefusedRate float64 `cbor:"10,keyasint,omitempty"`
	Used        float64 `cbor:"11,keyasint,omitempty"`
	Refused     float64 `cbor:"12,keyasint,omitempty"`
}
