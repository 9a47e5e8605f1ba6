package controlapi

import (
	"time"

	"toucanway/core/balance"
	"toucanway/core/fleet"
)

// PlaceRequest asks the leader, which knows the load of all hosts, to choose the server for a request with a long prompt.
type PlaceRequest struct {
	Offers []Offer `cbor:"1,keyasint"`
}

// Offer is a server that can take the request, with the costs as the host sees them; see balance.Candidate.
type Offer struct {
	Instance  fleet.BackendID `cbor:"1,keyasint"`
	Cost      time.Duration   `cbor:"2,keyasint"`
	PerActive time.Duration   `cbor:"3,keyasint"`
	PerToken  time.Duration   `cbor:"4,keyasint"`
	Tokens    fleet.Tokens    `cbor:"5,keyasint"`
}

// PlaceResponse names the chosen server. The leader adds the request to the server's load until the host's next report.
type PlaceResponse struct {
	Reply    Reply           `cbor:"1,keyasint,omitempty"`
	Instance fleet.BackendID `cbor:"2,keyasint,omitempty"`
}

func (r *PlaceResponse) reply() Reply { return r.Reply }

// NewPlaceRequest returns the request for a list of candidates.
func NewPlaceRequest(offers []balance.Candidate) *PlaceRequest {
	req := &PlaceRequest{Offers: make([]Offer, len(offers))}
	for i, o := range offers {
		req.Offers[i] = Offer{Instance: o.Instance, Cost: o.Cost, PerActive: o.PerActive, PerToken: o.PerToken, Tokens: o.Tokens}
	}
	return req
}

// Candidates returns the candidates of the request.
func (r *PlaceRequest) Candidates() []balance.Candidate {
	out := make([]balance.Candidate, len(r.Offers))
	for i, o := range r.Offers {
		out[i] = balance.Candidate{Instance: o.Instance, Cost: o.Cost, PerActive: o.PerActive, PerToken: o.PerToken, Tokens: o.Tokens}
	}
	return out
}
