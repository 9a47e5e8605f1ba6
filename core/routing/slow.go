package routing

import (
	"math"
	"slices"
	"time"

	"toucanway/core/fleet"
)

const (
	// ProbeShare is the share of its usual traffic that a server observed to be slow keeps, to find out that it recovered.
	ProbeShare = 0.02
	// slowFrom and slowUntil are the ratios to the median of peers at which traffic is shifted away and back.
	slowFrom  = 1.6
	slowUntil = 1.25
	// shiftStep is the factor of the weight at each refresh while a server is slow, and its inverse while it recovers.
	shiftStep = 0.5
	// refreshEvery is the time between changes of weights.
	refreshEvery = 50 * time.Millisecond
	// paceGain is the weight of a new observation in a server's ratio, tokenGain in a replica's time per token.
	paceGain  = 0.3
	tokenGain = 0.1
	// lateGain is the weight of a late first token. It is large, since each host sees only a few requests of a server that
	// becomes slow, and those given up for hedges yield no other observation.
	lateGain = 0.5
	// maxRatio bounds one observation, so that a single stall does not mark a server for long.
	maxRatio = 8
	// forgetAfter is the time without observations after which half of a server's slowness is forgotten.
	forgetAfter = 10 * time.Second
	// minPeers is the number of replicas with observations from which a median is meaningful.
	minPeers = 3
)

// pace is a backend server's time per token relative to its peers.
type pace struct {
	value float64
	at    time.Time
}

// ratio returns how many times slower than its peers a server is believed to be.
func (p *pace) ratio(now time.Time) float64 {
	if p.value == 0 {
		return 1
	}
	idle := now.Sub(p.at)
	if idle <= 0 {
		return p.value
	}
	return 1 + (p.value-1)/(1+float64(idle)/float64(forgetAfter))
}

func (p *pace) observe(now time.Time, x, gain float64) {
	old := p.ratio(now)
	p.value = old + gain*(min(x, maxRatio)-old)
	p.at = now
}

// Progress is an observation of a running or finished request since the last one.
type Progress struct {
	Backend fleet.BackendID
	Model   fleet.ModelID
	// Tokens were received within Elapsed, after the first one.
	Tokens  fleet.Tokens
	Elapsed time.Duration
	// FirstToken is the time from dispatch to the first token, or so far if Waiting; zero when told before. An attempt that is
	// given up for a hedge has to be told as Waiting, else hedges hide the slow server that caused them.
	FirstToken time.Duration
	Waiting    bool
	// Prompt and Cached are the prompt's tokens and those that the engine found in its cache.
	Prompt, Cached fleet.Tokens
}

// Observe learns from a request's progress.
func (r *Router) Observe(now time.Time, p Progress) {
	i, ok := r.index[p.Backend]
	m := r.models[p.Model]
	if !ok || m == nil {
		return
	}
	b := &r.backends[i]
	if p.FirstToken > 0 {
		r.observeFirst(now, m, b, p)
	}
	if p.Tokens > 0 && p.Elapsed > 0 {
		x := p.Elapsed.Seconds() / float64(p.Tokens)
		for k := range m.replicas {
			if s := &m.replicas[k]; s.backend == i {
				if s.token == 0 {
					s.token = x
				}
				s.token += tokenGain * (x - s.token)
			}
		}
		if m.token > 0 {
			b.pace.observe(now, x/m.token, paceGain)
		}
	}
	if !now.Before(m.refresh) {
		m.refresh = now.Add(refreshEvery)
		r.refresh(now, m)
	}
}

// observeFirst learns the time per prompt token, and takes a late first token as a sign of slowness.
func (r *Router) observeFirst(now time.Time, m *model, b *backend, p Progress) {
	work := max(float64(p.Prompt-p.Cached)+promptBase, 1)
	busy := 1 + b.load.estimate(now)/b.slots
	x := p.FirstToken.Seconds() / work / busy
	if !m.measured && !p.Waiting {
		m.prefill, m.measured = x, true
	}
	switch late := x / m.prefill; {
	case late > slowFrom:
		b.pace.observe(now, late, lateGain)
	case !p.Waiting:
		b.pace.observe(now, late, paceGain/2)
	}
	if !p.Waiting {
		// A step is bounded, so that stragglers move the mean little while a wrong start is still left within a few steps.
		m.prefill += tokenGain * (min(x, 2*m.prefill) - m.prefill)
	}
}

// refresh computes the median time per token and moves weights by one step, for at most one third of the replicas.
func (r *Router) refresh(now time.Time, m *model) {
	var buf [maxCandidates]float64
	known := buf[:0]
	for k := range m.replicas {
		if t := m.replicas[k].token; t > 0 {
			known = append(known, t)
		}
	}
	if len(known) < minPeers {
		return
	}
	slices.Sort(known)
	m.token = known[(len(known)-1)/2]
	left := len(m.replicas) / 3
	for k := range m.replicas {
		if m.replicas[k].weight < 1 {
			left--
		}
	}
	for ; left < 0; left++ {
		// Fewer replicas than before: the fastest of those shifted away serves again.
		back, ratio := -1, math.Inf(1)
		for k := range m.replicas {
			if x := r.backends[m.replicas[k].backend].pace.ratio(now); m.replicas[k].weight < 1 && x < ratio {
				back, ratio = k, x
			}
		}
		m.replicas[back].weight = 1
	}
	for left > 0 {
		worst, ratio := -1, slowFrom
		for k := range m.replicas {
			p := &m.replicas[k]
			if x := r.backends[p.backend].pace.ratio(now); p.weight == 1 && x > ratio {
				worst, ratio = k, x
			}
		}
		if worst < 0 {
			break
		}
		m.replicas[worst].weight = shiftStep
		left--
	}
	for k := range m.replicas {
		p := &m.replicas[k]
		if p.weight == 1 {
			continue
		}
		switch x := r.backends[p.backend].pace.ratio(now); {
		case x > slowFrom:
			p.weight = max(ProbeShare, p.weight*shiftStep)
		case x < slowUntil:
			p.weight = min(1, p.weight/shiftStep)
		}
	}
}

// probe returns a shifted replica for a share of the requests that it would usually get, and whether there is one.
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

// Weight returns the share of its usual traffic that a replica gets, from ProbeShare to 1; zero when it is unknown.
func (r *Router) Weight(id fleet.ModelID, on fleet.BackendID) float64 {
	i, ok := r.index[on]
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
