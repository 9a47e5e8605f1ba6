package balance

import (
	"math"
	"time"

	"toucanway/core/registry"
)

// Occupancy is what is known of the places at a server.
type Occupancy struct {
	// Places is the number of requests that the server runs at once; 0 means that it is not known.
	Places int
	// Own is the number of requests that this host has there, Others that of all other hosts when they last reported.
	Own, Others int
	// Needs is the number of places that the request takes, according to its share of the memory.
	Needs int
	// Expected is the expected time to first byte of the request.
	Expected time.Duration
}

// Occupancy returns the occupancy of an instance for a request, given its candidate.
func (b *Balancer) Occupancy(r *Request, in *registry.Instance, o *Candidate) Occupancy {
	others := b.server(in).otherHosts
	m := Occupancy{Places: o.Capacity, Own: o.Active, Others: others.Active, Needs: 1, Expected: o.timeWith(others)}
	if r.Plain {
		m.Places = in.Slots
	} else if mean := b.work.prompt; o.Capacity > 0 && r.KVCapacity > 0 && mean > 0 {
		// Servers with short prompts run more requests than those with prompts of the mean length, as far as half of that is assumed.
		per := min(mean, max(float64(r.Prompt), mean/2))
		m.Places = max(min(in.Slots, int(float64(r.KVCapacity)/per)), 1)
		m.Needs = max(int(math.Ceil(float64(r.Prompt)/per)), 1)
	}
	return m
}

// ViewAge returns the age of the load of other hosts on average.
func (b *Balancer) ViewAge() time.Duration { return b.viewAge }
