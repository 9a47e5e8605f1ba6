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
	// Held is the number of tokens for which the server needs memory until its requests have ended.
	Held fleet.Tokens
	// TimeRatio is the ratio of the server's times to the expected ones that all hosts have measured; 0 means that it is not known.
	TimeRatio float64
}

// OtherHostsLoad returns the load of other hosts at a server.
type OtherHostsLoad func(fleet.BackendID) TotalLoad

// Candidate is a server that can take a request, with the costs as one host sees them.
type Candidate struct {
	Instance fleet.BackendID
	// Cost is the expected time to first byte on an otherwise idle server, plus penalties for distance, failures and overdue
	// requests.
	Cost time.Duration
	// Active is the number of requests that this host has in flight there, Capacity the number that the server runs at once; 0
	// means that it is not known.
	Active, Capacity int
	// PerActive is added for each request in flight, PerQueued for each one beyond Capacity, PerToken for each prompt token of
	// other hosts that is not processed yet.
	PerActive, PerQueued, PerToken time.Duration
	// Tokens is the number of prompt tokens that the server would have to process.
	Tokens fleet.Tokens
	// Slots and Memory are what the server can hold, in requests and in tokens; 0 means that it is not known.
	Slots  int
	Memory fleet.Tokens
	// Held is the memory that this host's requests take there, Need that of the request.
	Held, Need fleet.Tokens

	cached  fleet.Tokens
	avoided bool
	// expected is the expected time to first byte without other requests in flight, perRunning what each of those adds.
	expected, perRunning time.Duration
}

// Candidates returns a candidate for each of the instances, in the same order.
func (b *Balancer) Candidates(now time.Time, r *Request, instances []*registry.Instance) []Candidate {
	home := homeInstance(r, instances)
	separate := b.separateReplicas(now, r, instances)
	prefixes := r.prefixes()
	out := make([]Candidate, len(instances))
	for i, in := range instances {
		out[i] = b.candidate(now, r, prefixes, in, in == home)
		if separate != nil && separate(in) != isShort(r.Prompt) {
			out[i].Cost += mixedPromptsCost
		}
	}
	return out
}

func (b *Balancer) candidate(now time.Time, r *Request, prefixes []prefix, in *registry.Instance, home bool) Candidate {
	s := b.server(in)
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * s.timeRatio) }
	o := Candidate{Instance: in.ID, Active: s.active}
	if r.Plain {
		o.PerActive = scaled(plainRequestTime / time.Duration(max(in.Slots, 1)))
		o.perRunning, o.expected = o.PerActive, scaled(plainRequestTime)
	} else {
		o.cached = b.sentPrefixes.cached(now, r, prefixes, in.ID, in.Incarnation)
		if home {
			o.cached = max(o.cached, fleet.Tokens(homeCachedShare*float64(r.sharedTokens())))
		}
		o.Tokens = r.Prompt - o.cached
		o.Capacity = b.work.capacity(in, r)
		o.Slots, o.Memory, o.Held, o.Need = in.Slots, r.KVCapacity, s.held, r.Prompt+r.Output
		o.PerActive, o.PerQueued, o.PerToken = activeRequestCost, 0, scaled(prefillTokenTime)
		if o.Capacity > 0 {
			o.PerActive = max(occupancyCost/time.Duration(o.Capacity), activeRequestCost)
			o.PerQueued = b.work.holdTime() / time.Duration(o.Capacity)
		}
		o.PerActive, o.perRunning = scaled(o.PerActive), scaled(activeRequestCost)
		o.expected = scaled(prefillTokenTime * time.Duration(o.Tokens+s.pendingPrompt))
	}
	o.Cost = o.expected + time.Duration(meanUnreadWeight*s.meanUnread*float64(o.PerToken)) + b.distanceCost(r, in) + time.Duration(s.failureRate(now)*float64(failureCost)) + s.overdueBy(now)
	if now.Before(s.avoidedUntil) || in.Silent {
		o.avoided = true
		o.Cost += avoidCost
	}
	return o
}

// queueTime returns the time that the request would wait until one of those in flight ends.
func (o *Candidate) queueTime(others TotalLoad) time.Duration {
	if o.Capacity == 0 {
		return 0
	}
	return o.PerQueued * time.Duration(max(o.Active+others.Active+1-o.Capacity, 0))
}

// costWith returns the cost of the candidate with the load of other hosts.
func (o *Candidate) costWith(others TotalLoad) time.Duration {
	c := o.Cost + o.PerActive*time.Duration(o.Active+others.Active) + o.PerToken*time.Duration(others.Prompt) + o.queueTime(others)
	if !o.Fits(others) {
		c += fullCost
	}
	return c
}

// timeWith returns the expected time to first byte with the load of other hosts.
func (o *Candidate) timeWith(others TotalLoad) time.Duration {
	return o.expected + o.perRunning*time.Duration(o.Active+others.Active) + o.PerToken*time.Duration(others.Prompt) + o.queueTime(others)
}

// Best returns the index of the candidate with the lowest cost, given the load of other hosts. There must be at least one
// candidate.
func Best(candidates []Candidate, others OtherHostsLoad) int {
	return lowest(candidates, func(o *Candidate) time.Duration { return o.costWith(others(o.Instance)) })
}

// sample returns the index of a candidate that is drawn from those with a low cost. The older the view of the other hosts' load,
// the wider it draws: hosts that all sent to the server that was the best one when they last heard would fill it.
func (b *Balancer) sample(candidates []Candidate, others OtherHostsLoad) int {
	ratio := float64(b.viewAge) / float64(b.work.holdTime())
	stale := unseenFactor * ratio * ratio
	return lowest(candidates, func(o *Candidate) time.Duration {
		load := others(o.Instance)
		unseen := stale * b.rand.ExpFloat64() * float64(load.Active+1)
		return o.costWith(load) + time.Duration(unseen*float64(o.PerActive))
	})
}

func lowest(candidates []Candidate, cost func(*Candidate) time.Duration) int {
	best, least := 0, time.Duration(0)
	for i := range candidates {
		o := &candidates[i]
		c := cost(o)
		if i == 0 || c < least || c == least && o.Instance < candidates[best].Instance {
			best, least = i, c
		}
	}
	return best
}
