package balance

import (
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// TotalLoad is the total load of the requests that some hosts have in flight at a server.
type TotalLoad struct {
	Active int
	// Prompt is the number of prompt tokens of requests without a first event.
	Prompt fleet.Tokens
}

// OtherHostsLoad returns the load of other hosts at a server.
type OtherHostsLoad func(fleet.BackendID) TotalLoad

// Candidate is a server that can take a request, with the costs as one host sees them.
type Candidate struct {
	Instance fleet.BackendID
	// Cost is the expected time to first byte with the requests that this host has in flight there, plus penalties for distance,
	// failures and overdue requests.
	Cost time.Duration
	// PerActive is added for each request of other hosts, PerToken for each of their prompt tokens that is not processed yet.
	PerActive, PerToken time.Duration
	// Tokens is the number of prompt tokens that the server would have to process.
	Tokens fleet.Tokens

	cached   fleet.Tokens
	avoided  bool
	expected time.Duration
}

// Candidates returns a candidate for each of the instances, in the same order.
func (b *Balancer) Candidates(now time.Time, r *Request, instances []*registry.Instance) []Candidate {
	home := homeInstance(r, instances)
	reserved := shortPromptReplica(r, instances)
	out := make([]Candidate, len(instances))
	for i, in := range instances {
		out[i] = b.candidate(now, r, in, in == home)
		if reserved != nil && (in == reserved) != r.shortPrompt() {
			out[i].Cost += mixedPromptsCost
		}
	}
	return out
}

func (b *Balancer) candidate(now time.Time, r *Request, in *registry.Instance, home bool) Candidate {
	s := b.server(in)
	o := Candidate{Instance: in.ID}
	var wait time.Duration
	if r.Plain {
		o.PerActive = plainRequestTime / time.Duration(max(in.Slots, 1))
		wait = plainRequestTime + o.PerActive*time.Duration(s.active)
	} else {
		o.cached = b.sentPrefixes.cached(now, r, in.ID, in.Incarnation)
		if home {
			o.cached = max(o.cached, fleet.Tokens(homeCachedShare*float64(r.sharedTokens())))
		}
		o.Tokens = r.Prompt - o.cached
		o.PerActive, o.PerToken = activeRequestCost, prefillTokenTime
		wait = prefillTokenTime*time.Duration(o.Tokens+s.pendingPrompt) + activeRequestCost*time.Duration(s.active)
	}
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * s.timeRatio) }
	o.PerActive, o.PerToken, o.expected = scaled(o.PerActive), scaled(o.PerToken), scaled(wait)
	o.Cost = o.expected + b.distanceCost(r, in) + time.Duration(s.failureRate(now)*float64(failureCost)) + s.overdueBy(now)
	if now.Before(s.avoidedUntil) || in.Silent {
		o.avoided = true
		o.Cost += avoidCost
	}
	return o
}

// otherHostsTime returns the time that the load of other hosts adds.
func (o Candidate) otherHostsTime(others TotalLoad) time.Duration {
	return o.PerActive*time.Duration(others.Active) + o.PerToken*time.Duration(others.Prompt)
}

// Best returns the index of the candidate with the lowest cost, given the load of other hosts. There must be at least one
// candidate.
func Best(candidates []Candidate, others OtherHostsLoad) int {
	best, leastCost := 0, time.Duration(0)
	for i, o := range candidates {
		cost := o.Cost + o.otherHostsTime(others(o.Instance))
		if i == 0 || cost < leastCost || cost == leastCost && o.Instance < candidates[best].Instance {
			best, leastCost = i, cost
		}
	}
	return best
}
