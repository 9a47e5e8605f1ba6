package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultRegionDelay     = 12 * time.Millisecond
	DefaultAdapterLoad     = 10 * time.Millisecond
	DefaultPrefillToken    = 100 * time.Microsecond
	DefaultHold            = time.Second
	DefaultPrefixes        = 1 << 18
	DefaultBackendPrefixes = 4096
	DefaultPrefixHalfLife  = 2 * time.Minute
	DefaultTieShare        = 0.1
)

const (
	// tieFloor is the difference of expected times below which candidates count as equal.
	tieFloor = time.Millisecond
	// overBudgetCost keeps cross-region traffic of a tenant without budget to targets that no server in the region serves.
	overBudgetCost = 10 * time.Second
	// promptBase stands for the part of the time to the first token that does not depend on the prompt's length.
	promptBase = 64
	// maxCandidates bounds the replicas of one model, as the control state does.
	maxCandidates = 64
)

// Settings configure a Router; zero fields mean the defaults above.
type Settings struct {
	// Place is where the host stands.
	Place fleet.Place
	// Rand breaks near ties and chooses probes; required.
	Rand *rand.Rand
	// RegionDelay is the one-way delay to another region.
	RegionDelay time.Duration
	// AdapterLoad is the expected time to load an adapter that is not present.
	AdapterLoad time.Duration
	// Prefixes and BackendPrefixes bound the known prefixes in all and of one backend server.
	Prefixes, BackendPrefixes int
	// PrefixHalfLife is the age at which a prefix not confirmed since is half believed.
	PrefixHalfLife time.Duration
	// TieShare is the share above the least expected time within which candidates count as near ties.
	TieShare float64
	// RegionBudget returns the bytes a second that a tenant may move between regions; nil means no bound.
	RegionBudget func(fleet.TenantID) fleet.Bytes
	// LeastOutstanding chooses by the number of own requests under way alone; it is a baseline for measurements.
	LeastOutstanding bool
}

// Prefix is the hash of a prompt's beginning and its length.
type Prefix struct {
	Hash   uint64
	Length fleet.Tokens
}

// Request is what matters of a request for the choice.
type Request struct {
	Target fleet.Target
	Tenant fleet.TenantID
	Prompt fleet.Tokens
	// Prefixes are the prompt's beginnings at block boundaries, longest first.
	Prefixes []Prefix
	// Bytes is the expected traffic between host and backend server.
	Bytes fleet.Bytes
	// Avoid names backend servers that failed the request or run it already.
	Avoid []fleet.BackendID
}

// Choice is the chosen backend server.
type Choice struct {
	Backend fleet.BackendID
	// Expected is the estimated time to the first token.
	Expected time.Duration
	// FirstToken is the part of it from the dispatch on, on a server that is not slow.
	FirstToken time.Duration
	// Wait is the part of it until a slot is free.
	Wait time.Duration
	// Match is the length of the prefix believed to be cached.
	Match fleet.Tokens
	// CrossRegion says that the traffic is billed, OverBudget that the tenant's budget is used up.
	CrossRegion, OverBudget bool
	// Probe says that the server is observed to be slow and gets this request to find out whether it recovered; the
	// request should be hedged early if it may.
	Probe bool
}

// Router estimates and chooses for one entry host. It is not safe for concurrent use.
type Router struct {
	cfg      Settings
	index    map[fleet.BackendID]int32
	backends []backend
	unused   []int32
	models   map[fleet.ModelID]*model
	adapters map[uint64][]int32
	prefixes prefixIndex
	budgets  budgets
	// match holds the believed prefix length of each backend server for the choice under way.
	match []float32
	cost  [maxCandidates]float64
	// loads is the part of the cost that comes from the estimated load; believed is the cost as far as the load is known.
	loads, believed [maxCandidates]float64
}

type backend struct {
	id          fleet.BackendID
	incarnation fleet.Incarnation
	slots       float64
	remote      bool
	load        load
	pace        pace
	cache       cache
}

// model is the replicas of a model and what is known of its speed.
type model struct {
	replicas []replica
	// prefill is the running mean of seconds per uncached prompt token, a default until it was measured.
	prefill  float64
	measured bool
	// token is the median of the replicas' seconds per output token.
	token   float64
	refresh time.Time
}

type replica struct {
	backend int32
	// token is the running mean of seconds per output token.
	token  float64
	weight float64
}

// New returns a router that knows no backend server.
func New(cfg Settings) *Router {
	cfg.RegionDelay = cmp.Or(cfg.RegionDelay, DefaultRegionDelay)
	cfg.AdapterLoad = cmp.Or(cfg.AdapterLoad, DefaultAdapterLoad)
	cfg.Prefixes = cmp.Or(cfg.Prefixes, DefaultPrefixes)
	cfg.BackendPrefixes = cmp.Or(cfg.BackendPrefixes, DefaultBackendPrefixes)
	cfg.PrefixHalfLife = cmp.Or(cfg.PrefixHalfLife, DefaultPrefixHalfLife)
	cfg.TieShare = cmp.Or(cfg.TieShare, DefaultTieShare)
	return &Router{
		cfg: cfg, index: map[fleet.BackendID]int32{}, models: map[fleet.ModelID]*model{}, adapters: map[uint64][]int32{},
		prefixes: newPrefixIndex(cfg.Prefixes, cfg.BackendPrefixes, cfg.PrefixHalfLife),
		budgets:  budgets{rate: cfg.RegionBudget},
	}
}

// SetBackend adds a backend server or changes it; a new incarnation forgets its load, pace and cache.
func (r *Router) SetBackend(a fleet.Announcement) {
	i, ok := r.index[a.ID]
	switch {
	case !ok && len(r.unused) > 0:
		i = r.unused[len(r.unused)-1]
		r.unused = r.unused[:len(r.unused)-1]
	case !ok:
		i = int32(len(r.backends))
		r.backends = append(r.backends, backend{})
		r.match = append(r.match, 0)
	}
	b := &r.backends[i]
	if !ok || b.incarnation != a.Incarnation {
		r.forgetCache(i)
		*b = backend{id: a.ID, incarnation: a.Incarnation, cache: newCache()}
		r.index[a.ID] = i
	}
	b.slots = float64(max(a.Slots, 1))
	b.remote = a.Place.Region != r.cfg.Place.Region
}

// RemoveBackend forgets a backend server and its replicas.
func (r *Router) RemoveBackend(id fleet.BackendID) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	r.forgetCache(i)
	for _, m := range r.models {
		m.replicas = slices.DeleteFunc(m.replicas, func(p replica) bool { return p.backend == i })
	}
	delete(r.index, id)
	r.backends[i] = backend{}
	r.unused = append(r.unused, i)
}

func (r *Router) forgetCache(i int32) {
	r.prefixes.forget(&r.backends[i].cache)
	for target, held := range r.adapters {
		if k := slices.Index(held, i); k >= 0 {
			r.setHolders(target, slices.Delete(held, k, k+1))
		}
	}
}

// SetReplicas replaces the ready replicas of a model; backend servers not set before are left out.
func (r *Router) SetReplicas(id fleet.ModelID, on []fleet.BackendID) {
	m := r.models[id]
	if len(on) == 0 {
		delete(r.models, id)
		return
	}
	if m == nil {
		m = &model{prefill: DefaultPrefillToken.Seconds()}
		r.models[id] = m
	}
	old := m.replicas
	m.replicas = make([]replica, 0, len(on))
	for _, b := range on[:min(len(on), maxCandidates)] {
		i, ok := r.index[b]
		if !ok {
			continue
		}
		next := replica{backend: i, weight: 1}
		if k := slices.IndexFunc(old, func(p replica) bool { return p.backend == i }); k >= 0 {
			next = old[k]
		}
		m.replicas = append(m.replicas, next)
	}
}

// Replicas returns how many ready replicas of a model are known.
func (r *Router) Replicas(id fleet.ModelID) int {
	if m := r.models[id]; m != nil {
		return len(m.replicas)
	}
	return 0
}

// SetAdapter notes whether an adapter is in a backend server's memory.
func (r *Router) SetAdapter(id fleet.BackendID, target fleet.Target, present bool) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	key := hashTarget(target)
	held := r.adapters[key]
	k := slices.Index(held, i)
	switch {
	case present && k < 0:
		r.adapters[key] = append(held, i)
	case !present && k >= 0:
		r.setHolders(key, slices.Delete(held, k, k+1))
	}
}

func (r *Router) setHolders(key uint64, held []int32) {
	if len(held) == 0 {
		delete(r.adapters, key)
		return
	}
	r.adapters[key] = held
}

// Choose returns the backend server for a request, and false when there is none. It allocates nothing.
func (r *Router) Choose(now time.Time, q *Request) (Choice, bool) {
	m := r.models[q.Target.Model]
	if m == nil || len(m.replicas) == 0 {
		return Choice{}, false
	}
	target := hashTarget(q.Target)
	r.prefixes.match(now, target, q, r.backends, r.match)
	defer r.prefixes.unmatch(target, q, r.match)
	var holders []int32
	if q.Target.Adapter != "" {
		holders = r.adapters[target]
	}
	over := r.budgets.over(now, q.Tenant)
	mean, others, n := 0.0, 0.0, 0
	for k := range m.replicas {
		p := &m.replicas[k]
		r.cost[k] = -1
		if r.avoided(p.backend, q.Avoid) {
			continue
		}
		b := &r.backends[p.backend]
		fixed, load := r.expected(now, m, p, q)
		if q.Target.Adapter != "" && !slices.Contains(holders, p.backend) {
			fixed += r.cfg.AdapterLoad.Seconds()
		}
		if over && b.remote {
			fixed += overBudgetCost.Seconds()
		}
		if r.cfg.LeastOutstanding {
			fixed, load = float64(b.load.own), 0
		}
		r.cost[k], r.loads[k] = fixed+load, load
		mean += load
		others += b.load.others
		n++
	}
	if n == 0 {
		return Choice{}, false
	}
	mean, others = mean/float64(n), others/float64(n)
	least := math.Inf(1)
	for k := range m.replicas {
		r.believed[k] = math.Inf(1)
		if r.cost[k] >= 0 {
			// Hosts that see the same late reports would all send to the server that was the least loaded one, so that the
			// load is drawn to the mean of all as far as it is not known.
			trust := r.backends[m.replicas[k].backend].load.trust(now, others)
			r.believed[k] = r.cost[k] - (1-trust)*(r.loads[k]-mean)
			least = min(least, r.believed[k])
		}
	}
	k, probe := 0, false
	if r.cfg.LeastOutstanding {
		k = slices.Index(r.believed[:len(m.replicas)], least)
	} else if k, probe = r.probe(m, n); !probe {
		k = r.nearTie(m, least)
	}
	i := m.replicas[k].backend
	b := &r.backends[i]
	return Choice{
		Backend: b.id, Expected: seconds(r.cost[k]), FirstToken: seconds(r.prefill(now, m, i, q)),
		Wait:  seconds(b.load.queueWait(now, b.slots) * b.pace.ratio(now)),
		Match: fleet.Tokens(r.match[i]), CrossRegion: b.remote, OverBudget: b.remote && over, Probe: probe,
	}, true
}

// Second returns another server for a request that has waited for a slot at those in q.Avoid, and false when none is
// expected to have one sooner than it has waited already. Without that condition every request would wait twice at a peak,
// when no server has a slot.
func (r *Router) Second(now time.Time, q *Request, waited time.Duration) (Choice, bool) {
	c, ok := r.Choose(now, q)
	return c, ok && !c.Probe && c.Wait < waited
}

func (r *Router) avoided(i int32, avoid []fleet.BackendID) bool {
	return len(avoid) > 0 && slices.Contains(avoid, r.backends[i].id)
}

// expected returns the expected seconds to the first token on a replica: the part that does not depend on its load, and the
// part that does.
func (r *Router) expected(now time.Time, m *model, p *replica, q *Request) (fixed, load float64) {
	b := &r.backends[p.backend]
	slow := b.pace.ratio(now)
	prompt := float64(q.Prompt) - float64(r.match[p.backend]) + promptBase
	fixed = max(prompt, 1) * m.prefill * slow
	load = fixed*b.load.estimate(now)/b.slots + b.load.queueWait(now, b.slots)*slow
	if b.remote {
		fixed += 2 * r.cfg.RegionDelay.Seconds()
	}
	return fixed, load
}

// prefill returns the expected seconds from dispatch to the first token on a server that is not slow.
func (r *Router) prefill(now time.Time, m *model, i int32, q *Request) float64 {
	b := &r.backends[i]
	prompt := float64(q.Prompt) - float64(r.match[i]) + promptBase
	return max(prompt, 1) * m.prefill * (1 + b.load.estimate(now)/b.slots)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// nearTie draws two of the candidates within reach of the least expected time and returns the less loaded one.
func (r *Router) nearTie(m *model, least float64) int {
	reach := least*(1+r.cfg.TieShare) + tieFloor.Seconds()
	first, second, seen := -1, -1, 0
	best, bestCost := -1, 0.0
	for k := range m.replicas {
		if r.cost[k] < 0 {
			continue
		}
		c := r.believed[k]
		w := m.replicas[k].weight
		if best < 0 || c/w < bestCost {
			best, bestCost = k, c/w
		}
		if c > reach || (w < 1 && r.cfg.Rand.Float64() >= w) {
			continue
		}
		// Reservoir sampling of two candidates without a list of them.
		seen++
		switch j := r.cfg.Rand.IntN(seen); {
		case seen <= 2:
			first, second = second, k
		case j == 0:
			first = k
		case j == 1:
			second = k
		}
	}
	switch {
	case second < 0:
		return best
	case first >= 0 && r.believed[first] < r.believed[second]:
		return first
	default:
		return second
	}
}
