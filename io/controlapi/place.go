package controlapi

import (
	"time"

	"toucanway/core/balance"
	"toucanway/core/fleet"
)

// PlaceRequest asks the leader, which knows the load of all hosts and grants the requests to servers with a rate limit, to choose the server
// for a request.
type PlaceRequest struct {
	Candidates []Candidate `cbor:"1,keyasint"`
	// MaxDelay is the longest time that the request can wait for a server with a rate limit.
	MaxDelay time.Duration `cbor:"2,keyasint,omitempty"`
}

// Candidate is a server that can take the request, with the costs as the host sees them; see balance.Candidate.
type Candidate struct {
	Instance  fleet.BackendID `cbor:"1,keyasint"`
	Cost      time.Duration   `cbor:"2,keyasint"`
	PerActive time.Duration   `cbor:"3,keyasint"`
	PerToken  time.Duration   `cbor:"4,keyasint"`
	Tokens    fleet.Tokens    `cbor:"5,keyasint"`
	Active    int             `cbor:"6,keyasint,omitempty"`
	Capacity  int             `cbor:"7,keyasint,omitempty"`
	PerQueued time.Duration   `cbor:"8,keyasint,omitempty"`
	// Limit is the rate limit that Incarnation has named, as far as the host knows. Without one both are left out.
	Limit       fleet.RateLimit   `cbor:"9,keyasint,omitzero"`
	Incarnation fleet.Incarnation `cbor:"10,keyasint,omitempty"`
	// Slots and Memory are what the server can hold, Held what the host's requests take of Memory, Need what the request takes.
	Need   fleet.Tokens `cbor:"11,keyasint,omitempty"`
	Slots  int          `cbor:"12,keyasint,omitempty"`
	Memory fleet.Tokens `cbor:"13,keyasint,omitempty"`
	Held   fleet.Tokens `cbor:"14,keyasint,omitempty"`
}

// PlaceResponse names the chosen server. The leader adds the request to the server's load until the host's next report. No server is named
// if all candidates have rate limits that are used up, or if the host should choose by itself.
type PlaceResponse struct {
	Reply    Reply           `cbor:"1,keyasint,omitempty"`
	Instance fleet.BackendID `cbor:"2,keyasint,omitempty"`
	// Delay is the time after which the request may be sent.
	Delay time.Duration `cbor:"3,keyasint,omitempty"`
	// RetryIn is the time after which one of the servers takes a request again, if all rate limits are used up.
	RetryIn time.Duration `cbor:"4,keyasint,omitempty"`
}

func (r *PlaceResponse) reply() Reply { return r.Reply }

// NewPlaceRequest returns the request for a list of candidates.
func NewPlaceRequest(candidates []balance.Candidate) *PlaceRequest {
	req := &PlaceRequest{Candidates: make([]Candidate, len(candidates))}
	for i, o := range candidates {
		req.Candidates[i] = Candidate{
			Instance: o.Instance, Cost: o.Cost, PerActive: o.PerActive, PerToken: o.PerToken, Tokens: o.Tokens,
			Active: o.Active, Capacity: o.Capacity, PerQueued: o.PerQueued,
			Slots: o.Slots, Memory: o.Memory, Held: o.Held, Need: o.Need,
		}
	}
	return req
}

// BalanceCandidates returns the candidates in the form that the balancer takes.
func (r *PlaceRequest) BalanceCandidates() []balance.Candidate {
	out := make([]balance.Candidate, len(r.Candidates))
	for i, o := range r.Candidates {
		out[i] = balance.Candidate{
			Instance: o.Instance, Cost: o.Cost, PerActive: o.PerActive, PerToken: o.PerToken, Tokens: o.Tokens,
			Active: o.Active, Capacity: o.Capacity, PerQueued: o.PerQueued,
			Slots: o.Slots, Memory: o.Memory, Held: o.Held, Need: o.Need,
		}
	}
	return out
}
