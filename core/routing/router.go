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
	DefaultServiceTime     = time.Second
	DefaultPrefixes        = 1 << 18
	DefaultBackendPrefixes = 4096
	DefaultPrefixHalfLife  = 2 * time.Minute
	DefaultTieShare        = 0.1
)

const (
	// minTieMargin is the difference of expected times up to which two candidates are always near ties.
	minTieMargin = time.Millisecond
	// overBudgetPenalty is added to the expected time of servers in other regions for a tenant whose budget is used up, so that
	// they are chosen only if no server in the host's region serves the target.
	overBudgetPenalty = 10 * time.Second
	// promptOverhead is the part of the time to first token that does not depend on the prompt's length, in prompt tokens.
	promptOverhead = 64
	// maxCandidates bounds the replicas of one model; the control state has the same bound.
	maxCandidates = 64
)

// Settings configure a Router; zero fields mean the defaults above.
type Settings struct {
	// Place is the location of the host.
	Place fleet.Place
	// Rand breaks near ties and chooses probes; required.
	Rand *rand.Rand
	// RegionDelay is the one-way delay to another region.
	RegionDelay time.Duration
	// AdapterLoad is the expected time to load an adapter.
	AdapterLoad time.Duration
	// Prefixes and BackendPrefixes bound the known prefixes in total and for each backend server.
	Prefixes, BackendPrefixes int
	// PrefixHalfLife is the time without confirmation after which the weight of a prefix is halved.
	PrefixHalfLife time.Duration
	// TieShare is the relative excess over the least expected time within which candidates are near ties.
	TieShare float64
	// RegionBudget returns the bytes per second that a tenant may move between regions; nil means no bound.
	RegionBudget func(fleet.TenantID) fleet.Bytes
	// LeastOutstanding chooses by the number of own requests in flight alone; it is a baseline for measurements.
	LeastOutstanding bool
}

// Prefix is the hash and the length of a prefix of a prompt.
type Prefix struct {
	Hash   uint64
	Length fleet.Tokens
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Target fleet.Target
	Tenant fleet.TenantID
	Prompt fleet.Tokens
	// Prefixes are the prompt's prefixes at block boundaries, longest first.
	Prefixes []Prefix
	// Bytes is the expected traffic between host and backend server.
	Bytes fleet.Bytes
	// Avoid lists backend servers that failed the request or run it already.
	Avoid []fleet.BackendID
}

// Choice is the chosen backend server.
type Choice struct {
	Backend fleet.BackendID
	// Expected is the estimated time to first token.
	Expected time.Duration
	// FirstToken is the estimated time from dispatch to the first token on a server that is not slow.
	FirstToken time.Duration
	// Wait is the estimated time until a slot is free.
	Wait time.Duration
	// CachedPrefix is the expected length of the cached prefix.
	CachedPrefix fleet.Tokens
	// CrossRegion is set if the server is in another region, so that the traffic is billed; OverBudget if in addition the
	// tenant's budget is used up.
	CrossRegion, OverBudget bool
	// Probe is set if the server was found to be slow and gets this request to check whether it has recovered. The request
	// should be hedged early if it may run twice.
	Probe bool
}

// Router chooses backend servers for the requests of one entry host. It is not safe for concurrent use.
type Router struct {
	cfg      Settings
	index    map[fleet.BackendID]int32
	backends []backend
	unused   []int32
	models   map[fleet.ModelID]*model
	adapters map[uint64][]int32
	prefixes prefixIndex
	budgets  budgets
	// cachedPrefix holds the expected cached prefix length of each backend server during a call of Choose.
	cachedPrefix []float32
	cost         [maxCandidates]float64
	// loadCost is the part of cost that comes from the estimated load. adjusted is cost with that part moved toward the mean of
	// all candidates, the more the less certain the load is.
	loadCost, adjusted [maxCandidates]float64
}

type backend struct {
	id          fleet.BackendID
	incarnation fleet.Incarnation
	slots       float64
	otherRegion bool
	load        load
	slowness    slowness
	cache       cacheModel
}

// model holds the replicas of a model and its measured speed.
type model struct {
	replicas []replica
	// secondsPerPromptToken is the moving average of seconds per uncached prompt token; a default until the first measurement.
	secondsPerPromptToken float64
	measured              bool
	// secondsPerToken is the median of the replicas' seconds per output token.
	secondsPerToken float64
	refreshAt       time.Time
}

type replica struct {
	backend int32
	// secondsPerToken is the moving average of seconds per output token.
	secondsPerToken float64
	weight          float64
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

// SetBackend adds or updates a backend server. A new incarnation resets its load, slowness and cache.
func (r *Router) SetBackend(a fleet.Announcement) {
	i, ok := r.index[a.ID]
	switch {
	case !ok && len(r.unused) > 0:
		i = r.unused[len(r.unused)-1]
		r.unused = r.unused[:len(r.unused)-1]
	case !ok:
		i = int32(len(r.backends))
		r.backends = append(r.backends, backend{})
		r.cachedPrefix = append(r.cachedPrefix, 0)
	}
	b := &r.backends[i]
	if !ok || b.incarnation != a.Incarnation {
		r.forgetCache(i)
		*b = backend{id: a.ID, incarnation: a.Incarnation, cache: newCache()}
		r.index[a.ID] = i
	}
	b.slots = float64(max(a.Slots, 1))
	b.otherRegion = a.Place.Region != r.cfg.Place.Region
}

// RemoveBackend removes a backend server and its replicas.
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
	r.prefixes.dropAll(&r.backends[i].cache)
	for target, loadedOn := range r.adapters {
		if k := slices.Index(loadedOn, i); k >= 0 {
			r.setAdapterServers(target, slices.Delete(loadedOn, k, k+1))
		}
	}
}

// SetReplicas replaces the ready replicas of a model. Those on backend servers that SetBackend did not add are left out.
func (r *Router) SetReplicas(id fleet.ModelID, ids []fleet.BackendID) {
	m := r.models[id]
	if len(ids) == 0 {
		delete(r.models, id)
		return
	}
	if m == nil {
		m = &model{secondsPerPromptToken: DefaultPrefillToken.Seconds()}
		r.models[id] = m
	}
	old := m.replicas
	m.replicas = make([]replica, 0, len(ids))
	for _, b := range ids[:min(len(ids), maxCandidates)] {
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

// SetAdapter records whether an adapter is loaded on a backend server.
func (r *Router) SetAdapter(id fleet.BackendID, target fleet.Target, present bool) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	key := hashTarget(target)
	loadedOn := r.adapters[key]
	k := slices.Index(loadedOn, i)
	switch {
	case present && k < 0:
		r.adapters[key] = append(loadedOn, i)
	case !present && k >= 0:
		r.setAdapterServers(key, slices.Delete(loadedOn, k, k+1))
	}
}

func (r *Router) setAdapterServers(key uint64, loadedOn []int32) {
	if len(loadedOn) == 0 {
		delete(r.adapters, key)
		return
	}
	r.adapters[key] = loadedOn
}

// Choose returns the backend server for a request, and false when there is none. It allocates nothing.
func (r *Router) Choose(now time.Time, q *Request) (Choice, bool) {
	m := r.models[q.Target.Model]
	if m == nil || len(m.replicas) == 0 {
		return Choice{}, false
	}
	target := hashTarget(q.Target)
	r.prefixes.setCachedPrefixes(now, target, q, r.backends, r.cachedPrefix)
	defer r.prefixes.clearCachedPrefixes(target, q, r.cachedPrefix)
	var loadedOn []int32
	if q.Target.Adapter != "" {
		loadedOn = r.adapters[target]
	}
	overBudget := r.budgets.exhausted(now, q.Tenant)
	mean, others, n := 0.0, 0.0, 0
	for k := range m.replicas {
		p := &m.replicas[k]
		r.cost[k] = -1
		if r.avoided(p.backend, q.Avoid) {
			continue
		}
		b := &r.backends[p.backend]
		fixed, load := r.expected(now, m, p, q)
		if q.Target.Adapter != "" && !slices.Contains(loadedOn, p.backend) {
			fixed += r.cfg.AdapterLoad.Seconds()
		}
		if overBudget && b.otherRegion {
			fixed += overBudgetPenalty.Seconds()
		}
		if r.cfg.LeastOutstanding {
			fixed, load = float64(b.load.own), 0
		}
		r.cost[k], r.loadCost[k] = fixed+load, load
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
		r.adjusted[k] = math.Inf(1)
		if r.cost[k] >= 0 {
			// All hosts see the same late reports and would all choose the server that was least loaded then. The load is
			// therefore moved toward the mean of all candidates in proportion to its uncertainty.
			confidence := r.backends[m.replicas[k].backend].load.confidence(now, others)
			r.adjusted[k] = r.cost[k] - (1-confidence)*(r.loadCost[k]-mean)
			least = min(least, r.adjusted[k])
		}
	}
	k, probe := 0, false
	if r.cfg.LeastOutstanding {
		k = slices.Index(r.adjusted[:len(m.replicas)], least)
	} else if k, probe = r.probe(m, n); !probe {
		k = r.chooseNearTie(m, least)
	}
	i := m.replicas[k].backend
	b := &r.backends[i]
	return Choice{
		Backend: b.id, Expected: seconds(r.cost[k]), FirstToken: seconds(r.dispatchToFirstToken(now, m, i, q)),
		Wait:         seconds(b.load.queueWait(now, b.slots) * b.slowness.ratio(now)),
		CachedPrefix: fleet.Tokens(r.cachedPrefix[i]),
		CrossRegion:  b.otherRegion, OverBudget: b.otherRegion && overBudget, Probe: probe,
	}, true
}

// ChooseAlternative returns another server for a request that has waited for a slot at the servers in q.Avoid. It returns false
// if no server is expected to have a free slot within the time already waited: at a peak no server has one, and every request
// would wait twice.
func (r *Router) ChooseAlternative(now time.Time, q *Request, waited time.Duration) (Choice, bool) {
	c, ok := r.Choose(now, q)
	return c, ok && !c.Probe && c.Wait < waited
}

func (r *Router) avoided(i int32, avoid []fleet.BackendID) bool {
	return len(avoid) > 0 && slices.Contains(avoid, r.backends[i].id)
}

// expected returns the expected seconds to the first token on a replica, split into the part that does not depend on its load
// and the part that does.
func (r *Router) expected(now time.Time, m *model, p *replica, q *Request) (fixed, load float64) {
	b := &r.backends[p.backend]
	slow := b.slowness.ratio(now)
	prompt := float64(q.Prompt) - float64(r.cachedPrefix[p.backend]) + promptOverhead
	fixed = max(prompt, 1) * m.secondsPerPromptToken * slow
	load = fixed*b.load.estimate(now)/b.slots + b.load.queueWait(now, b.slots)*slow
	if b.otherRegion {
		fixed += 2 * r.cfg.RegionDelay.Seconds()
	}
	return fixed, load
}

// dispatchToFirstToken returns the expected seconds from dispatch to the first token on a server that is not slow.
func (r *Router) dispatchToFirstToken(now time.Time, m *model, i int32, q *Request) float64 {
	b := &r.backends[i]
	prompt := float64(q.Prompt) - float64(r.cachedPrefix[i]) + promptOverhead
	return max(prompt, 1) * m.secondsPerPromptToken * (1 + b.load.estimate(now)/b.slots)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// chooseNearTie draws two random candidates among those near the least expected time and returns the one with the lower cost.
func (r *Router) chooseNearTie(m *model, least float64) int {
	limit := least*(1+r.cfg.TieShare) + minTieMargin.Seconds()
	first, second, seen := -1, -1, 0
	best, bestCost := -1, 0.0
	for k := range m.replicas {
		if r.cost[k] < 0 {
			continue
		}
		c := r.adjusted[k]
		w := m.replicas[k].weight
		if best < 0 || c/w < bestCost {
			best, bestCost = k, c/w
		}
		if c > limit || (w < 1 && r.cfg.Rand.Float64() >= w) {
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
	case first >= 0 && r.adjusted[first] < r.adjusted[second]:
		return first
	default:
		return second
	}
}
