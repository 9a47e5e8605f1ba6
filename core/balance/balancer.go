package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Part is one part of a prompt; requests share parts.
type Part struct {
	ID     string
	Tokens fleet.Tokens
}

// Request is what is known of a request before it runs.
type Request struct {
	Target fleet.Target
	// Prompt is the number of prompt tokens, Parts what they consist of, in order; the last part is the request's own.
	Prompt fleet.Tokens
	Parts  []Part
	// Objective is the time to the first byte of an answer that is on time.
	Objective time.Duration
	// Size is the number of bytes that go to the server.
	Size fleet.Bytes
	// Plain requests go to servers without a model.
	Plain bool
}

// Costs of a choice.
const (
	// tokenTime is the time in which an engine reads a prompt token at pace 1.
	tokenTime = time.Second / 30000
	// plainTime is the expected time of a plain request at pace 1.
	plainTime = 20 * time.Millisecond
	// stepCost is the time that each running request adds to the first byte of the next.
	stepCost = time.Millisecond
	// zoneCost and regionCost are the costs of leaving the data centre or the region, there and back, and regionTraffic that of
	// each KiB sent to another region, which is billed by volume.
	zoneCost      = 4 * time.Millisecond
	regionCost    = 28 * time.Millisecond
	regionTraffic = 3 * time.Millisecond
	// longPrompt is the number of tokens from which a prompt makes running streams pause.
	longPrompt fleet.Tokens = 3000
	// mixCost is the cost of running short and long prompts together.
	mixCost = 150 * time.Millisecond
	// failureCost is the cost of a server that fails every request.
	failureCost = 2 * time.Second
	// avoidCost puts servers that are avoided behind all others.
	avoidCost = time.Minute
	// homeShare is the share of a prompt's common parts that the server that it hashes to is taken to have kept.
	homeShare = 0.7
	// overdue is the factor by which a request without a first byte must exceed its expected time to count against a server.
	overdue = 2
	// overdueLeast is the least time after which a request counts as overdue.
	overdueLeast = 150 * time.Millisecond
)

// Place is where this host stands.
type Place struct {
	DataCentre fleet.DataCentre
	// Regions maps data centres to regions.
	Regions map[fleet.DataCentre]fleet.Region
}

// Balancer chooses servers. It is not safe for concurrent use.
type Balancer struct {
	place   Place
	servers map[fleet.BackendID]*server
	sent    prefixes
	others  Others
}

// New returns a balancer of a host.
func New(p Place) *Balancer {
	none := func(fleet.BackendID) Sum { return Sum{} }
	return &Balancer{place: p, servers: map[fleet.BackendID]*server{}, sent: newPrefixes(), others: none}
}

// Ticket is one request under way at a server.
type Ticket struct {
	Instance    fleet.BackendID
	Incarnation fleet.Incarnation
	target      fleet.Target
	prompt      fleet.Tokens
	expected    time.Duration
	began       time.Time
	first       bool
}

// Choice explains why a server was chosen, for the log.
type Choice struct {
	Cost    time.Duration
	Cached  fleet.Tokens
	Active  int
	Others  int
	Options int
	Avoided bool
	// Placed says that the leader of the control group chose among the options.
	Placed   bool
	Expected time.Duration
}

func (b *Balancer) server(in *registry.Instance) *server {
	s := b.servers[in.ID]
	if s == nil || s.incarnation != in.Incarnation {
		s = newServer(in.Incarnation)
		s.others = b.others(in.ID)
		b.servers[in.ID] = s
	}
	return s
}

// Pick chooses one of the instances and begins the request there; it returns nil if there is none.
func (b *Balancer) Pick(now time.Time, r *Request, options []*registry.Instance) (*registry.Instance, *Ticket, Choice) {
	if len(options) == 0 {
		return nil, nil, Choice{}
	}
	offers := b.Offers(now, r, options)
	best := Best(offers, func(id fleet.BackendID) Sum { return b.servers[id].others })
	t, c := b.Take(now, r, options[best], offers[best])
	c.Options = len(options)
	return options[best], t, c
}

// Take begins a request at the server of an offer.
func (b *Balancer) Take(now time.Time, r *Request, in *registry.Instance, o Offer) (*Ticket, Choice) {
	s := b.server(in)
	others := o.wait(s.others)
	c := Choice{
		Cost: o.Cost + others, Cached: o.cached, Active: s.active, Others: s.others.Active, Avoided: o.avoided, Expected: o.expected + others,
	}
	t := &Ticket{
		Instance: in.ID, Incarnation: in.Incarnation, target: r.Target, prompt: r.Prompt - c.Cached, expected: c.Expected, began: now,
	}
	s.active++
	s.prompt += t.prompt
	s.targets[r.Target]++
	s.waiting[t] = true
	b.sent.add(now, r, in.ID, in.Incarnation)
	return t, c
}

// lateness returns how far requests without a first byte are overdue.
func (s *server) lateness(now time.Time) time.Duration {
	var most time.Duration
	for t := range s.waiting {
		if late := now.Sub(t.began) - max(overdue*t.expected, overdueLeast); late > most {
			most = late
		}
	}
	return most
}

func (b *Balancer) distance(r *Request, in *registry.Instance) time.Duration {
	switch {
	case in.DataCentre == b.place.DataCentre:
		return 0
	case b.place.Regions[in.DataCentre] == b.place.Regions[b.place.DataCentre]:
		return zoneCost
	default:
		return regionCost + regionTraffic*time.Duration(r.Size/fleet.KiB)
	}
}

// shared returns the tokens of the parts that other requests may have in common.
func (r *Request) shared() fleet.Tokens {
	var n fleet.Tokens
	for i := 0; i+1 < len(r.Parts); i++ {
		n += r.Parts[i].Tokens
	}
	return n
}

// short says whether a prompt is read in a moment.
func (r *Request) short() bool { return r.Prompt < longPrompt }

// Long says whether a prompt is read for so long that it matters what else a server reads.
func (r *Request) Long() bool { return !r.Plain && !r.short() }

// quietOf returns the replica that is kept for short prompts, since each long one makes the streams there pause; nil where there
// is only one replica.
func quietOf(r *Request, options []*registry.Instance) *registry.Instance {
	if r.Plain || len(options) < 2 {
		return nil
	}
	return highest(string(r.Target.Model)+"/", options)
}

// homeOf returns the instance that the common parts of a prompt hash to, so that hosts that don't hear of each other's
// requests send them to the same one; nil if there are no common parts.
func homeOf(r *Request, options []*registry.Instance) *registry.Instance {
	if len(r.Parts) < 2 {
		return nil
	}
	return highest(string(r.Target.Model)+"/"+string(r.Target.Adapter)+"/"+r.Parts[len(r.Parts)-2].ID+"/", options)
}

// highest returns the instance with the highest hash together with a key, which is the same on every host.
func highest(key string, options []*registry.Instance) *registry.Instance {
	return slices.MaxFunc(options, func(a, b *registry.Instance) int {
		return cmp.Compare(xxhash.Sum64String(key+string(a.ID)), xxhash.Sum64String(key+string(b.ID)))
	})
}

// First takes in the first byte of an answer.
func (b *Balancer) First(now time.Time, t *Ticket) {
	s := b.servers[t.Instance]
	if s == nil || s.incarnation != t.Incarnation || t.first {
		return
	}
	t.first = true
	s.prompt -= t.prompt
	delete(s.waiting, t)
	if t.expected > 0 {
		s.observePace(s.pace * float64(now.Sub(t.began)) / float64(t.expected))
	}
}

// End takes in the end of a request.
func (b *Balancer) End(now time.Time, t *Ticket, o Outcome) {
	s := b.servers[t.Instance]
	if s == nil || s.incarnation != t.Incarnation {
		return
	}
	if !t.first {
		s.prompt -= t.prompt
		delete(s.waiting, t)
	}
	s.active--
	if s.targets[t.target]--; s.targets[t.target] <= 0 {
		delete(s.targets, t.target)
	}
	s.observe(now, o)
}

// Load is what this host has under way at a server.
type Load struct {
	Active  int
	Prompt  fleet.Tokens
	Targets map[fleet.Target]int
	// Unreachable says that connections or answers failed a moment ago.
	Unreachable bool
}

// Loads returns what this host has under way, by server.
func (b *Balancer) Loads(now time.Time) map[fleet.BackendID]Load {
	out := map[fleet.BackendID]Load{}
	for id, s := range b.servers {
		unreachable := s.misses >= unreachableMisses && now.Sub(s.avoid) < avoidMost
		if s.active == 0 && !unreachable {
			continue
		}
		out[id] = Load{Active: s.active, Prompt: s.prompt, Targets: maps.Clone(s.targets), Unreachable: unreachable}
	}
	return out
}

// SetOthers replaces what other hosts have under way.
func (b *Balancer) SetOthers(others Others) {
	b.others = others
	for id, s := range b.servers {
		s.others = others(id)
	}
}

// Keep drops the servers that are not among the instances.
func (b *Balancer) Keep(instances map[fleet.BackendID]*registry.Instance) {
	for id, s := range b.servers {
		if in := instances[id]; in == nil || in.Incarnation != s.incarnation {
			delete(b.servers, id)
		}
	}
}
