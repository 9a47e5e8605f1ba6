package balance

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Sum is what some hosts have under way at a server.
type Sum struct {
	Active int
	// Prompt is the number of prompt tokens of requests that have not had their first event.
	Prompt fleet.Tokens
}

// Others returns what other hosts have under way at a server.
type Others func(fleet.BackendID) Sum

// Offer is a server that can take a request, as one host sees it.
type Offer struct {
	Instance fleet.BackendID
	// Cost is the expected time to the first byte with what this host has under way there, and surcharges for what speaks
	// against the server.
	Cost time.Duration
	// PerActive and PerToken are added for each request of other hosts, and for each prompt token of theirs that is not read yet.
	PerActive, PerToken time.Duration
	// Tokens is the number of prompt tokens that the server would have to read.
	Tokens fleet.Tokens

	cached   fleet.Tokens
	avoided  bool
	expected time.Duration
}

// Offers returns what each of the instances offers, in their order.
func (b *Balancer) Offers(now time.Time, r *Request, options []*registry.Instance) []Offer {
	home := homeOf(r, options)
	quiet := quietOf(r, options)
	out := make([]Offer, len(options))
	for i, in := range options {
		out[i] = b.offer(now, r, in, in == home)
		if quiet != nil && (in == quiet) != r.short() {
			out[i].Cost += mixCost
		}
	}
	return out
}

func (b *Balancer) offer(now time.Time, r *Request, in *registry.Instance, home bool) Offer {
	s := b.server(in)
	o := Offer{Instance: in.ID}
	var wait time.Duration
	if r.Plain {
		o.PerActive = plainTime / time.Duration(max(in.Slots, 1))
		wait = plainTime + o.PerActive*time.Duration(s.active)
	} else {
		o.cached = b.sent.cached(now, r, in.ID, in.Incarnation)
		if home {
			o.cached = max(o.cached, fleet.Tokens(homeShare*float64(r.shared())))
		}
		o.Tokens = r.Prompt - o.cached
		o.PerActive, o.PerToken = stepCost, tokenTime
		wait = tokenTime*time.Duration(o.Tokens+s.prompt) + stepCost*time.Duration(s.active)
	}
	paced := func(d time.Duration) time.Duration { return time.Duration(float64(d) * s.pace) }
	o.PerActive, o.PerToken, o.expected = paced(o.PerActive), paced(o.PerToken), paced(wait)
	o.Cost = o.expected + b.distance(r, in) + time.Duration(s.failureRate(now)*float64(failureCost)) + s.lateness(now)
	if now.Before(s.avoid) || in.Silent {
		o.avoided = true
		o.Cost += avoidCost
	}
	return o
}

// wait returns the time that what other hosts have under way adds.
func (o Offer) wait(others Sum) time.Duration {
	return o.PerActive*time.Duration(others.Active) + o.PerToken*time.Duration(others.Prompt)
}

// Best returns the index of the offer with the least cost, given what other hosts have under way. There must be an offer.
func Best(offers []Offer, others Others) int {
	best, least := 0, time.Duration(0)
	for i, o := range offers {
		cost := o.Cost + o.wait(others(o.Instance))
		if i == 0 || cost < least || cost == least && o.Instance < offers[best].Instance {
			best, least = i, cost
		}
	}
	return best
}
