package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/length"
	"toucanway/core/poison"
	"toucanway/core/queue"
	"toucanway/core/retry"
	"toucanway/core/routing"
)

// secondAfter is the wait after which a request looks for a second queue first.
const secondAfter = 50 * time.Millisecond

// target is the one model of all experiments.
var target = fleet.Target{Model: "m"}

// choosing is how a host picks a server.
type choosing int

const (
	chooseRouter choosing = iota
	chooseRandom
	chooseLeast
)

// settings are one policy and the workload that it is measured with.
type settings struct {
	name                  string
	hosts, servers, slots int
	arrivals              func(s *simulation)
	fifo                  bool
	oracle, blind         bool
	longShare             float64
	longHold              time.Duration
	queue                 queue.Settings
	choose                choosing
	hedge                 bool
	// redirects bounds the other servers asked after a refusal; second lets a request wait at two servers.
	redirects int
	second    bool
	// upAfter is when a server's replica is ready; nil means from the start.
	upAfter func(server int) time.Duration
	// crashAt is when the first crashed servers end; they are back after downFor.
	crashAt, downFor time.Duration
	crashed          int
	unbounded        bool
	preempt          int
	resends          int
	slow             func(at time.Duration, server int) float64
	until            time.Duration
}

// long says whether a request is taken for long when it asks for a slot.
func (p *settings) long(r *request) bool {
	switch {
	case p.blind:
		return false
	case p.oracle:
		return r.long
	default:
		return r.predicted.Long
	}
}

// request is one call; a resend is a request of its own with the same origin.
type request struct {
	id     int
	class  fleet.Class
	tenant fleet.TenantID
	caller fleet.CallerID
	prompt int
	output int
	long   bool
	poison bool
	origin fleet.Fingerprint
	// retryAfter is what the refusal told the caller.
	retryAfter time.Duration
	session    uint64
	shared     int
	arrived    time.Time
	deadline   time.Time
	predicted  length.Prediction
	tries      int
	// done is the number of tokens that the caller has from preempted attempts.
	done, preempted int
	resent          int
	live            []*attempt
	refusedBy       []fleet.BackendID
	answered        bool

	waited, first time.Duration
	finished      time.Time
	served        bool
}

// host is one entry host.
type host struct {
	router *routing.Router
	hedges retry.Hedges
	budget *retry.Budget
	lens   *length.Predictor
	sent   retry.Resends
	poison *poison.View
	// waiting holds requests while no server is up, in order, and held those of the baseline.
	waiting *queue.Queue
	tickets map[queue.Ticket]*request
	held    []*request
	own     map[*server]int
}

type simulation struct {
	loop
	p        settings
	rand     *rand.Rand
	servers  []*server
	byID     map[fleet.BackendID]*server
	hosts    []*host
	up       []*server
	control  control.State
	index    fleet.Index
	requests []*request
	// attempts counts requests for a slot, dispatches those that got one.
	attempts, dispatches int
	hedges               int
	crashes              int
	stops                int
	prompts              int
	hits                 int
}

func newSimulation(p settings, seed uint64) *simulation {
	s := &simulation{p: p, rand: rand.New(rand.NewPCG(seed, 1)), byID: map[fleet.BackendID]*server{}}
	s.now = epoch
	var on []fleet.BackendID
	for i := range p.servers {
		v := newServer(s, fleet.BackendID(fmt.Sprintf("b%02d", i)), p.slots)
		s.servers = append(s.servers, v)
		s.byID[v.id] = v
		on = append(on, v.id)
	}
	for i := range p.hosts {
		h := &host{own: map[*server]int{}, lens: length.New(length.Settings{LongTokens: longTokens})}
		own := rand.New(rand.NewPCG(seed, uint64(100+i)))
		h.router = routing.New(routing.Settings{Rand: own})
		h.waiting, h.tickets = queue.New(queue.Settings{Limit: 4096}), map[queue.Ticket]*request{}
		h.poison = poison.New(poison.Settings{})
		h.budget = retry.NewBudget(retry.Settings{Rand: own})
		for _, id := range on {
			h.router.SetBackend(fleet.Announcement{ID: id, Slots: p.slots})
		}
		s.hosts = append(s.hosts, h)
	}
	for i, v := range s.servers {
		if p.upAfter == nil || p.upAfter(i) == 0 {
			s.up = append(s.up, v)
			continue
		}
		s.after(p.upAfter(i), func() { s.join(v) })
	}
	s.replicas()
	for i, v := range s.servers {
		s.after(time.Duration(i)*7*time.Millisecond, v.report)
	}
	for i := range p.crashed {
		s.after(p.crashAt, func() { s.servers[i].crash(p.downFor) })
	}
	return s
}

// live says that arrivals go on, or that requests are open.
func (s *simulation) live() bool { return s.since() < s.p.until+20*time.Second }

func (s *simulation) slowness(v *server) float64 {
	if s.p.slow == nil {
		return 1
	}
	return s.p.slow(s.since(), slices.Index(s.servers, v))
}

func (s *simulation) kills(a *attempt) bool { return a.r.poison }

func (s *simulation) sorted(m map[*attempt]bool) []*attempt {
	out := make([]*attempt, 0, len(m))
	for a := range m {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return out
}

// poisson schedules arrivals at a rate that may change with time.
func (s *simulation) poisson(rate func(time.Duration) float64, most float64, make func() *request) {
	var next func()
	next = func() {
		if s.since() >= s.p.until {
			return
		}
		if s.rand.Float64() < rate(s.since())/most {
			s.arrive(make())
		}
		s.after(time.Duration(s.rand.ExpFloat64()/most*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *simulation) exponential(mean float64) int {
	return 1 + int(math.Min(s.rand.ExpFloat64(), 6)*mean)
}

func (s *simulation) arrive(r *request) {
	r.id = len(s.requests)
	r.arrived = s.now
	s.requests = append(s.requests, r)
	h := s.hostOf(r)
	if r.origin == 0 {
		r.origin = fleet.Fingerprint(r.id + 1)
	}
	r.predicted = h.lens.Predict(s.features(r))
	resent := h.sent.Seen(s.now, r.origin)
	if s.p.unbounded {
		s.try(r, nil)
		return
	}
	if resent && !h.budget.Spend(s.now, r.tenant) {
		r.retryAfter = time.Second
		s.again(r)
		return
	}
	if !resent {
		h.budget.Request(s.now, r.tenant)
	}
	s.try(r, nil)
}

// hostOf returns the host of a request; callers stay with theirs.
func (s *simulation) hostOf(r *request) *host {
	if r.origin != 0 {
		return s.hosts[int(r.origin-1)%len(s.hosts)]
	}
	return s.hosts[r.id%len(s.hosts)]
}

func (s *simulation) features(r *request) length.Request {
	return length.Request{Caller: r.caller, Class: r.class, Model: target.Model, Prompt: fleet.Tokens(r.prompt)}
}

func (s *simulation) query(r *request) *routing.Request {
	q := &routing.Request{Target: target, Tenant: r.tenant, Prompt: fleet.Tokens(r.prompt)}
	if r.session != 0 {
		q.Prefixes = []routing.Prefix{{Hash: r.session, Length: fleet.Tokens(r.shared)}}
	}
	return q
}

// try sends a request to a server that did not fail it.
func (s *simulation) try(r *request, avoid []fleet.BackendID) {
	if r.answered {
		return
	}
	h := s.hostOf(r)
	if len(s.up) == 0 {
		s.hold(h, r)
		return
	}
	runAlone := false
	if !s.p.unbounded {
		switch h.poison.Decide(s.now, r.origin, len(s.up)).(type) {
		case poison.Run:
		case poison.RunAlone:
			runAlone = true
		case poison.Refuse:
			r.answered = true
			return
		}
	}
	r.tries++
	s.attempts++
	a := &attempt{alone: runAlone, r: r, id: fleet.RequestID(fmt.Sprintf("r%07d-%d", r.id, r.tries)), host: h}
	switch s.p.choose {
	case chooseRandom:
		a.server = s.up[s.rand.IntN(len(s.up))]
	case chooseLeast:
		a.server = slices.MinFunc(s.up, func(x, y *server) int { return h.own[x] - h.own[y] })
	case chooseRouter:
		q := s.query(r)
		q.Avoid = avoid
		c, ok := h.router.Choose(s.now, q)
		if !ok {
			q.Avoid = nil
			c, _ = h.router.Choose(s.now, q)
		}
		a.server, a.believed, a.expected = s.byID[c.Backend], c.Match, c.FirstToken
	default:
		panic("policy: unknown choice")
	}
	r.live = append(r.live, a)
	h.own[a.server]++
	h.router.Begin(s.now, a.server.id)
	s.after(oneWay, func() { a.server.acquire(a) })
	if s.p.second && len(r.live) == 1 && !s.p.long(r) {
		s.queueTwice(r, a, secondAfter)
	}
}

// queueTwice lets a request that waits join the queue of a second server, and leaves one queue when the other grants.
func (s *simulation) queueTwice(r *request, a *attempt, waited time.Duration) {
	s.after(waited, func() {
		if a.over || !a.granted.IsZero() || r.answered || len(r.live) != 1 {
			return
		}
		q := s.query(r)
		q.Avoid = []fleet.BackendID{a.server.id}
		if _, ok := a.host.router.Second(s.now, q, s.now.Sub(a.asked)); ok {
			s.try(r, q.Avoid)
			return
		}
		s.queueTwice(r, a, 2*waited)
	})
}

func (s *simulation) hedge(r *request, a *attempt) {
	if d, ok := a.host.hedges.After(target.Model, a.expected, true); ok {
		s.after(d, func() {
			if !a.over && a.produced == 0 && !r.answered && len(r.live) == 1 && a.host.budget.Spend(s.now, r.tenant) {
				s.hedges++
				s.try(r, []fleet.BackendID{a.server.id})
			}
		})
	}
}

func (s *simulation) granted(a *attempt) {
	if s.p.second {
		for _, other := range slices.Clone(a.r.live) {
			if other != a && other.granted.IsZero() {
				s.drop(other)
			}
		}
	}
	if a.r.waited == 0 {
		a.r.waited = s.now.Sub(a.r.arrived)
	}
	if s.p.hedge && len(a.r.live) == 1 {
		s.hedge(a.r, a)
	}
}

// progress learns from produced tokens and gives up the other attempts at the first one.
func (s *simulation) progress(a *attempt, tokens int, elapsed time.Duration) {
	r, h := a.r, a.host
	ev := routing.Progress{Backend: a.server.id, Model: target.Model}
	if a.produced == a.r.done+tokens {
		ev.FirstToken, ev.Prompt, ev.Cached = elapsed, fleet.Tokens(r.prompt), a.cached
		h.router.Answered(s.now, a.server.id, s.query(r), a.believed, a.cached)
		s.prompts += r.prompt
		s.hits += int(a.cached)
		if r.first == 0 {
			r.first = s.now.Sub(r.arrived)
			h.hedges.Observe(target.Model, s.now.Sub(a.granted), a.expected)
		}
		for _, other := range slices.Clone(r.live) {
			if other != a {
				s.drop(other)
			}
		}
	} else {
		ev.Tokens, ev.Elapsed = fleet.Tokens(tokens), elapsed
	}
	h.router.Observe(s.now, ev)
	if !s.p.blind && !a.outgrown && h.lens.Outgrown(r.predicted, fleet.Tokens(a.produced)) && a.server.table != nil {
		a.outgrown = true
		a.server.release(a, outgrown)
	}
}

// drop gives up an attempt that waits or runs.
func (s *simulation) drop(a *attempt) {
	s.leave(a)
	if a.server.running[a] {
		if a.produced == 0 {
			a.host.router.Observe(s.now, routing.Progress{
				Backend: a.server.id, Model: target.Model, FirstToken: s.now.Sub(a.granted), Waiting: true,
				Prompt: fleet.Tokens(a.r.prompt), Cached: a.cached,
			})
		}
		a.server.end(a)
		return
	}
	a.over = true
	a.server.withdraw(a)
}

func (s *simulation) leave(a *attempt) {
	a.r.live = slices.DeleteFunc(a.r.live, func(x *attempt) bool { return x == a })
	a.host.own[a.server]--
	hold := time.Duration(0)
	if a.produced >= a.r.output {
		hold = s.now.Sub(a.granted)
	}
	a.host.router.End(s.now, a.server.id, hold)
}

func (s *simulation) finished(a *attempt) {
	s.leave(a)
	a.host.lens.Observe(s.features(a.r), fleet.Tokens(a.r.output))
	a.host.sent.Forget(a.r.origin)
	a.r.answered, a.r.served, a.r.finished = true, true, s.now
}

func (s *simulation) refused(a *attempt, refusal *fleet.Refusal) {
	s.leave(a)
	a.over = true
	if !s.p.unbounded {
		a.r.retryAfter = refusal.RetryAfter
	}
	a.r.refusedBy = append(a.r.refusedBy, a.server.id)
	if len(a.r.live) == 0 && len(a.r.refusedBy) <= s.p.redirects {
		s.try(a.r, a.r.refusedBy)
		return
	}
	if len(a.r.live) == 0 {
		s.again(a.r)
	}
}

// failed retries an attempt whose server crashed.
func (s *simulation) failed(a *attempt) {
	s.leave(a)
	if len(a.r.live) > 0 {
		return
	}
	avoid := []fleet.BackendID{a.server.id}
	if s.p.unbounded {
		if a.r.tries < 3 {
			s.try(a.r, avoid)
			return
		}
	} else if wait, ok := a.host.budget.Retry(s.now, a.r.tenant, a.r.tries, a.r.deadline.Sub(s.now)); ok {
		s.after(wait, func() { s.try(a.r, avoid) })
		return
	}
	s.again(a.r)
}

// again plays the caller of a request that was not answered: it sends it again, a bounded number of times. Half of the callers
// wait as told by a refusal, the others send again at once.
func (s *simulation) again(r *request) {
	r.answered = true
	if r.resent >= s.p.resends {
		return
	}
	next := &request{
		class: r.class, tenant: r.tenant, caller: r.caller, prompt: r.prompt, output: r.output, long: r.long, origin: r.origin,
		session: r.session, shared: r.shared, poison: r.poison, resent: r.resent + 1,
	}
	wait := 20 * time.Millisecond
	if s.rand.Float64() < 0.5 {
		wait = max(wait, r.retryAfter)
	}
	s.after(wait, func() {
		next.deadline = s.now.Add(r.deadline.Sub(r.arrived))
		s.arrive(next)
	})
}
