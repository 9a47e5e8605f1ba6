package routing

import (
	"math"
	"slices"
	"time"

	"toucanway/core/fleet"
)

const (
	// ProbeShare is the share of its usual traffic that a slow server keeps, so that its recovery is detected.
	ProbeShare = 0.02
	// slowRatio and recoveredRatio are the ratios to the median of the peers above which traffic is shifted away from a server
	// and below which it is shifted back.
	slowRatio      = 1.6
	recoveredRatio = 1.25
	// shiftStep multiplies a replica's weight at each refresh while its server is slow, and divides it while the server recovers.
	shiftStep = 0.5
	// refreshInterval is the least time between two updates of the weights of a model's replicas.
	refreshInterval = 50 * time.Millisecond
	// slownessGain is the weight of a new observation in a server's slowness, tokenGain in a replica's time per token.
	slownessGain = 0.3
	tokenGain    = 0.1
	// lateFirstTokenGain is the weight of a late first token in a server's slowness. It is large, since each host sees only a few
	// requests of a server that becomes slow, and those cancelled in favour of a hedge yield no other observation.
	lateFirstTokenGain = 0.5
	// maxRatio bounds one observation, so that a single stall does not mark a server as slow for long.
	maxRatio = 8
	// slownessHalfWeightAge is the time without observations after which the excess of a server's slowness over 1 counts half.
	slownessHalfWeightAge = 10 * time.Second
	// minPeers is the least number of replicas with observations for a meaningful median.
	minPeers = 3
)

// slowness is the moving average of a backend server's time per token relative to its peers.
type slowness struct {
	value     float64
	updatedAt time.Time
}

// ratio returns how many times slower than its peers a server is estimated to be.
func (p *slowness) ratio(now time.Time) float64 {
	if p.value == 0 {
		return 1
	}
	idle := now.Sub(p.updatedAt)
	if idle <= 0 {
		return p.value
	}
	return 1 + (p.value-1)/(1+float64(idle)/float64(slownessHalfWeightAge))
}

func (p *slowness) observe(now time.Time, x, gain float64) {
	old := p.ratio(now)
	p.value = old + gain*(min(x, maxRatio)-old)
	p.updatedAt = now
}

// Progress is what was observed of a running or finished request since its last observation.
type Progress struct {
	Backend fleet.BackendID
	Model   fleet.ModelID
	// Tokens were received within Elapsed, after the first one.
	Tokens  fleet.Tokens
	Elapsed time.Duration
	// FirstToken is the time from dispatch to the first token, or the time elapsed so far if Waiting; zero if it was reported
	// before. An attempt that is cancelled in favour of its hedge has to be reported as Waiting; otherwise hedges would hide the
	// slow server that caused them.
	FirstToken time.Duration
	Waiting    bool
	// Prompt and Cached are the prompt's tokens and those that the engine found in its cache.
	Prompt, Cached fleet.Tokens
}

// Observe updates the speed estimates with a request's progress.
func (r *Router) Observe(now time.Time, p Progress) {
	i, ok := r.index[p.Backend]
	m := r.models[p.Model]
	if !ok || m == nil {
		return
	}
	b := &r.backends[i]
	if p.FirstToken > 0 {
		r.observeFirstToken(now, m, b, p)
	}
	if p.Tokens > 0 && p.Elapsed > 0 {
		x := p.Elapsed.Seconds() / float64(p.Tokens)
		for k := range m.replicas {
			if s := &m.replicas[k]; s.backend == i {
				if s.secondsPerToken == 0 {
					s.secondsPerToken = x
				}
				s.secondsPerToken += tokenGain * (x - s.secondsPerToken)
			}
		}
		if m.secondsPerToken > 0 {
			b.slowness.observe(now, x/m.secondsPerToken, slownessGain)
		}
	}
	if !now.Before(m.refreshAt) {
		m.refreshAt = now.Add(refreshInterval)
		r.refreshWeights(now, m)
	}
}

// observeFirstToken updates the time per prompt token, and counts a late first token as a sign of a slow server.
func (r *Router) observeFirstToken(now time.Time, m *model, b *backend, p Progress) {
	work := max(float64(p.Prompt-p.Cached)+promptOverhead, 1)
	busy := 1 + b.load.estimate(now)/b.slots
	x := p.FirstToken.Seconds() / work / busy
	if !m.measured && !p.Waiting {
		m.secondsPerPromptToken, m.measured = x, true
	}
	switch ratio := x / m.secondsPerPromptToken; {
	case ratio > slowRatio:
		b.slowness.observe(now, ratio, lateFirstTokenGain)
	case !p.Waiting:
		b.slowness.observe(now, ratio, slownessGain/2)
	}
	if !p.Waiting {
		// Each step is bounded: a straggler moves the mean little, yet a wrong initial value is corrected within a few steps.
		m.secondsPerPromptToken += tokenGain * (min(x, 2*m.secondsPerPromptToken) - m.secondsPerPromptToken)
	}
}

// refreshWeights computes the median time per token and moves the weights of slow replicas by one step. At most one third of the
// replicas have a reduced weight.
func (r *Router) refreshWeights(now time.Time, m *model) {
	var buf [maxCandidates]float64
	known := buf[:0]
	for k := range m.replicas {
		if t := m.replicas[k].secondsPerToken; t > 0 {
			known = append(known, t)
		}
	}
	if len(known) < minPeers {
		return
	}
	slices.Sort(known)
	m.secondsPerToken = known[(len(known)-1)/2]
	shiftable := len(m.replicas) / 3
	for k := range m.replicas {
		if m.replicas[k].weight < 1 {
			shiftable--
		}
	}
	for ; shiftable < 0; shiftable++ {
		// There are fewer replicas than before: the fastest one with a reduced weight gets its full share again.
		fastest, ratio := -1, math.Inf(1)
		for k := range m.replicas {
			if x := r.backends[m.replicas[k].backend].slowness.ratio(now); m.replicas[k].weight < 1 && x < ratio {
				fastest, ratio = k, x
			}
		}
		m.replicas[fastest].weight = 1
	}
	for shiftable > 0 {
		slowest, ratio := -1, slowRatio
		for k := range m.replicas {
			p := &m.replicas[k]
			if x := r.backends[p.backend].slowness.ratio(now); p.weight == 1 && x > ratio {
				slowest, ratio = k, x
			}
		}
		if slowest < 0 {
			break
		}
		m.replicas[slowest].weight = shiftStep
		shiftable--
	}
	for k := range m.replicas {
		p := &m.replicas[k]
		if p.weight == 1 {
			continue
		}
		switch x := r.backends[p.backend].slowness.ratio(now); {
		case x > slowRatio:
			p.weight = max(ProbeShare, p.weight*shiftStep)
		case x < recoveredRatio:
			p.weight = min(1, p.weight/shiftStep)
		}
	}
}

// probe draws whether the request goes to a replica with a reduced weight, such that each gets ProbeShare of its usual requests.
// It reports whether one was drawn.
func (r *Router) probe(m *model, candidates int) (int, bool) {
	for k := range m.replicas {
		if m.replicas[k].weight >= 1 || r.cost[k] < 0 {
			continue
		}
		if r.cfg.Rand.Float64()*float64(candidates) < ProbeShare {
			return k, true
		}
	}
	return 0, false
}

// Weight returns the share of its usual traffic that a replica gets, from ProbeShare to 1, or 0 if the replica is unknown.
func (r *Router) Weight(id fleet.ModelID, server fleet.BackendID) float64 {
	i, ok := r.index[server]
	m := r.models[id]
	if !ok || m == nil {
		return 0
	}
	for _, p := range m.replicas {
		if p.backend == i {
			return p.weight
		}
	}
	return 0
}
