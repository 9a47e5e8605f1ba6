package balance

import (
	"maps"
	"math/rand/v2"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Part is one part of a prompt. Several requests may contain the same part.
type Part struct {
	ID     string
	Tokens fleet.Tokens
}

// Request describes a request before it is sent to a server.
type Request struct {
	Target fleet.Target
	// Prompt is the number of prompt tokens. Parts lists the parts of the prompt in order; the last part is unique to the
	// request.
	Prompt fleet.Tokens
	Parts  []Part
	// Output is the largest number of tokens that are generated.
	Output fleet.Tokens
	// Objective is the largest time to first byte of an answer that is on time.
	Objective time.Duration
	// LatestStart is the time until which a server with a rate limit may make the request wait.
	LatestStart time.Time
	// Size is the number of bytes that are sent to the server.
	Size fleet.Bytes
	// KVCapacity is the number of tokens that the memory of an engine of the service holds; 0 means that it is not known.
	KVCapacity fleet.Tokens
	// FetchesPrefixes is set if the engines of the service can fetch cached parts of a prompt from one another.
	FetchesPrefixes bool
	// Plain is set if the request goes to a server without a model.
	Plain bool
}

// Costs that make up the expected time to first byte.
const (
	// prefillTokenTime is the time that an engine needs to process a prompt token at time ratio 1.
	prefillTokenTime = time.Second / 30000
	// plainRequestTime is the expected time of a plain request at time ratio 1.
	plainRequestTime = 20 * time.Millisecond
	// activeRequestCost is the time that each running request adds to the time to first byte of the next one.
	activeRequestCost = time.Millisecond
	// occupancyCost is the cost of a server that runs as many requests as it can: its streams pause more often, and the next
	// request waits for a slot.
	occupancyCost = 100 * time.Millisecond
	// dataCentreCost and regionCost are the round-trip costs of leaving the data centre or the region; regionCostPerKiB is the
	// cost of each KiB sent to another region, where traffic is billed by volume.
	dataCentreCost   = 4 * time.Millisecond
	regionCost       = 28 * time.Millisecond
	regionCostPerKiB = 3 * time.Millisecond
	// longPromptTokens is the number of tokens from which processing a prompt interrupts the streams that run at the engine.
	longPromptTokens fleet.Tokens = 3000
	// mixedPromptsCost is the cost of running short and long prompts at the same engine.
	mixedPromptsCost = 150 * time.Millisecond
	// meanUnreadWeight is the weight of the time that a server needs for the prompts which usually wait there. It is above 1 since
	// the streams of a server that reads for much of the time pause more often, and further prompts come while a request runs.
	meanUnreadWeight = 3
	// failureCost is the cost of a server that fails every request.
	failureCost = 2 * time.Second
	// unseenFactor is the mean uncertainty about the requests of other hosts at a server, as a multiple of those known there, for
	// a view as old as a request lasts. It falls with the square of the view's age.
	unseenFactor = 32
	// fullCost ranks servers without room for a request behind those with room, and before avoided ones.
	fullCost = 10 * time.Second
	// avoidCost ranks avoided servers behind all others.
	avoidCost = time.Minute
	// homeCachedShare is the share of a prompt's common parts that is assumed to be cached at the server to which they hash.
	homeCachedShare = 0.7
	// overdueFactor is the factor by which a request without a first byte must exceed its expected time to count against a
	// server.
	overdueFactor = 2
	// minFetchTokens is the number of tokens in the shared parts of a prompt from which an engine fetches them. Processing fewer of them
	// takes about as long as the call to the other engine.
	minFetchTokens fleet.Tokens = 1000
	// minOverdueTime is the shortest time after which a request can count as overdue.
	minOverdueTime = 150 * time.Millisecond
)

// Location is the location of this host.
type Location struct {
	DataCentre fleet.DataCentre
	// Regions maps data centres to regions.
	Regions map[fleet.DataCentre]fleet.Region
}

// Balancer chooses servers. It is not safe for concurrent use.
type Balancer struct {
	location     Location
	servers      map[fleet.BackendID]*server
	sentPrefixes prefixes
	otherHosts   OtherHostsLoad
	viewAge      time.Duration
	// views is the number of times that the load of other hosts has been replaced, hosts the number of hosts; 0 if it is not known.
	views uint64
	hosts int
	// seed differs from that of the other hosts.
	seed uint64
	work work
	rand *rand.Rand
}

// New returns a balancer for a host. Hosts must differ in the seed.
func New(p Location, seed uint64) *Balancer {
	none := func(fleet.BackendID) TotalLoad { return TotalLoad{} }
	return &Balancer{location: p, servers: map[fleet.BackendID]*server{}, sentPrefixes: newPrefixes(), otherHosts: none, seed: seed, rand: rand.New(rand.NewPCG(seed, 0))}
}

// Ticket is one request in flight at a server.
type Ticket struct {
	Instance      fleet.BackendID
	Incarnation   fleet.Incarnation
	target        fleet.Target
	prompt        fleet.Tokens
	plain         bool
	uncached      fleet.Tokens
	held          fleet.Tokens
	expected      time.Duration
	distance      time.Duration
	start         time.Time
	firstByteSeen bool
}

// Choice describes why a server was chosen, for the log.
type Choice struct {
	Cost             time.Duration
	Cached           fleet.Tokens
	Active           int
	OtherHostsActive int
	Candidates       int
	Avoided          bool
	// Placed is set if the leader of the control group has chosen among the candidates.
	Placed   bool
	Expected time.Duration
}

func (b *Balancer) server(in *registry.Instance) *server {
	s := b.servers[in.ID]
	if s == nil || s.incarnation != in.Incarnation {
		s = newServer(in.Incarnation)
		s.otherHosts = b.otherHosts(in.ID)
		s.meanUnread = float64(s.otherHosts.Prompt)
		if s.otherHosts.TimeRatio > 0 {
			s.timeRatio = s.otherHosts.TimeRatio
		}
		b.servers[in.ID] = s
	}
	return s
}

// Pick chooses one of the instances and begins the request there; it returns nil if there are no instances.
func (b *Balancer) Pick(now time.Time, r *Request, instances []*registry.Instance) (*registry.Instance, *Ticket, Choice) {
	if len(instances) == 0 {
		return nil, nil, Choice{}
	}
	candidates := b.Candidates(now, r, instances)
	best := b.Draw(candidates)
	t, c := b.Begin(now, r, instances[best], candidates[best])
	c.Candidates = len(instances)
	return instances[best], t, c
}

// Draw returns the index of one of the candidates, which must be those of the present instances. There must be at least one.
func (b *Balancer) Draw(candidates []Candidate) int {
	return b.sample(candidates, func(id fleet.BackendID) TotalLoad { return b.servers[id].otherHosts })
}

// Begin begins a request at the server of a candidate.
func (b *Balancer) Begin(now time.Time, r *Request, in *registry.Instance, o Candidate) (*Ticket, Choice) {
	s := b.server(in)
	c := Choice{
		Cost: o.costWith(s.otherHosts), Cached: o.cached, Active: s.active, OtherHostsActive: s.otherHosts.Active,
		Avoided: o.avoided, Expected: o.timeWith(s.otherHosts),
	}
	t := &Ticket{
		Instance: in.ID, Incarnation: in.Incarnation, target: r.Target, prompt: r.Prompt, plain: r.Plain,
		uncached: r.Prompt - c.Cached, held: r.Prompt + r.Output, distance: b.roundTrip(in), expected: c.Expected, start: now,
	}
	s.active++
	s.held += t.held
	s.sentInView++
	s.sentTokens += t.held
	s.pendingPrompt += t.uncached
	s.targets[r.Target]++
	s.withoutFirstByte[t] = true
	b.sentPrefixes.add(now, r, in.ID, in.Incarnation)
	return t, c
}

// overdueBy returns by how much the most overdue request without a first byte exceeds its limit.
func (s *server) overdueBy(now time.Time) time.Duration {
	var longest time.Duration
	for t := range s.withoutFirstByte {
		if late := now.Sub(t.start) - max(overdueFactor*t.expected, minOverdueTime); late > longest {
			longest = late
		}
	}
	return longest
}

// roundTrip returns the expected time that a request to a server and the first byte of its answer are under way.
func (b *Balancer) roundTrip(in *registry.Instance) time.Duration {
	switch {
	case in.DataCentre == b.location.DataCentre:
		return 0
	case b.location.Regions[in.DataCentre] == b.location.Regions[b.location.DataCentre]:
		return dataCentreCost
	default:
		return regionCost
	}
}

func (b *Balancer) distanceCost(r *Request, in *registry.Instance) time.Duration {
	d := b.roundTrip(in)
	if d == regionCost {
		d += regionCostPerKiB * time.Duration(r.Size/fleet.KiB)
	}
	return d
}

// sharedTokens returns the number of tokens in the parts that other requests may share.
func (r *Request) sharedTokens() fleet.Tokens {
	var n fleet.Tokens
	for i := 0; i+1 < len(r.Parts); i++ {
		n += r.Parts[i].Tokens
	}
	return n
}

// FirstByte records the arrival of the first byte of an answer.
func (b *Balancer) FirstByte(now time.Time, t *Ticket) {
	s := b.servers[t.Instance]
	if s == nil || s.incarnation != t.Incarnation || t.firstByteSeen {
		return
	}
	t.firstByteSeen = true
	s.pendingPrompt -= t.uncached
	delete(s.withoutFirstByte, t)
	if t.expected > 0 {
		took := max(now.Sub(t.start)-t.distance, 0)
		s.observeTimeRatio(s.timeRatio * float64(took) / float64(t.expected))
	}
}

// End records the end of a request.
func (b *Balancer) End(now time.Time, t *Ticket, o Outcome) {
	s := b.servers[t.Instance]
	if s == nil || s.incarnation != t.Incarnation {
		return
	}
	if !t.firstByteSeen {
		s.pendingPrompt -= t.uncached
		delete(s.withoutFirstByte, t)
	}
	s.active--
	s.held -= t.held
	if s.targets[t.target]--; s.targets[t.target] <= 0 {
		delete(s.targets, t.target)
	}
	s.observe(now, o)
	if o == Answered && !t.plain {
		b.work.observe(now, t.prompt, now.Sub(t.start))
	}
}

// Load is the load of the requests that this host has in flight at a server.
type Load struct {
	Active int
	Prompt fleet.Tokens
	Held   fleet.Tokens
	// TimeRatio is the ratio of the server's times to the expected ones, if it was measured since the last call of Loads; else 0.
	TimeRatio float64
	Targets   map[fleet.Target]int
	// Unreachable is set if several connections or answers in a row have recently failed.
	Unreachable bool
}

// Loads returns the load of the requests that this host has in flight, by server.
func (b *Balancer) Loads(now time.Time) map[fleet.BackendID]Load {
	out := map[fleet.BackendID]Load{}
	for id, s := range b.servers {
		unreachable := s.consecutiveFailures >= unreachableFailures && now.Sub(s.avoidedUntil) < maxAvoidTime
		if s.active == 0 && !unreachable {
			continue
		}
		out[id] = Load{
			Active: s.active, Prompt: s.pendingPrompt, Held: s.held, TimeRatio: s.measured, Targets: maps.Clone(s.targets), Unreachable: unreachable,
		}
		s.measured = 0
	}
	return out
}

// SetOtherHostsLoad replaces the load of other hosts, which is of the given age on average until it is replaced again.
func (b *Balancer) SetOtherHostsLoad(others OtherHostsLoad, age time.Duration) {
	b.otherHosts, b.viewAge = others, age
	b.views++
	for id, s := range b.servers {
		s.setOtherHosts(others(id), age)
	}
}

// Retain drops all servers that are not among the instances.
func (b *Balancer) Retain(instances map[fleet.BackendID]*registry.Instance) {
	for id, s := range b.servers {
		if in := instances[id]; in == nil || in.Incarnation != s.incarnation {
			delete(b.servers, id)
		}
	}
}
