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

// secondQueueDelay is the wait at one server after which a request first tries to queue at a second server.
const secondQueueDelay = 50 * time.Millisecond

// target is the only model in all experiments.
var target = fleet.Target{Model: "m"}

// serverChoice is the way in which a host chooses a server.
type serverChoice int

const (
	chooseRouter serverChoice = iota
	chooseRandom
	chooseLeast
)

// settings describe one policy and the workload that it is measured with.
type settings struct {
	name                  string
	hosts, servers, slots int
	arrivals              func(s *simulation)
	// fifo replaces the capacity tables and queues of the product with FIFO queues. oracle classes requests as long or short by
	// their actual output instead of the prediction; noPrediction treats all of them as short.
	fifo                 bool
	oracle, noPrediction bool
	longShare            float64
	longReleaseDelay     time.Duration
	queue                queue.Settings
	choose               serverChoice
	hedge                bool
	// maxRedirects bounds the other servers tried after refusals; twoQueues lets a request wait at two servers.
	maxRedirects int
	twoQueues    bool
	// readyAfter returns when a server's replica is ready; nil means from the start.
	readyAfter func(server int) time.Duration
	// crashAt is when the first crashCount servers crash; they are up again after downFor.
	crashAt, downFor time.Duration
	crashCount       int
	unboundedRetries bool
	maxPreemptions   int
	maxRepetitions   int
	slowdown         func(at time.Duration, server int) float64
	arrivalsUntil    time.Duration
}

// long reports whether the policy treats a request as long when it requests a slot.
func (p *settings) long(r *request) bool {
	switch {
	case p.noPrediction:
		return false
	case p.oracle:
		return r.isLong
	default:
		return r.prediction.Long
	}
}

// request is one call; its prompt and output are lengths in tokens. A repetition by the caller is a separate request with the
// same origin.
type request struct {
	id             int
	class          fleet.Class
	tenant         fleet.TenantID
	caller         fleet.CallerID
	prompt         int
	output         int
	isLong         bool
	crashesServers bool
	origin         fleet.Fingerprint
	// retryAfter is the retry delay that the refusal gave to the caller.
	retryAfter   time.Duration
	session      uint64
	sharedPrefix int
	arrived      time.Time
	deadline     time.Time
	prediction   length.Prediction
	attempts     int
	// receivedTokens is the number of tokens that the caller has received from preempted attempts.
	receivedTokens, preemptions int
	repetition                  int
	inFlight                    []*attempt
	refusedBy                   []fleet.BackendID
	answered                    bool

	waitedForSlot, firstToken time.Duration
	finished                  time.Time
	served                    bool
}

// host is one simulated entry host.
type host struct {
	router      *routing.Router
	hedges      retry.Hedges
	budget      *retry.Budget
	lengths     *length.Predictor
	repetitions retry.Repetitions
	poison      *poison.View
	// waiting holds tickets of the requests that arrive while no server is up, ordered as in core/queue, and queued the requests
	// by ticket. The baseline queues its requests in fifo, in the order of their arrival.
	waiting     *queue.Queue
	queued      map[queue.Ticket]*request
	fifo        []*request
	outstanding map[*server]int
}

type simulation struct {
	loop
	settings     settings
	rand         *rand.Rand
	servers      []*server
	byID         map[fleet.BackendID]*server
	hosts        []*host
	readyServers []*server
	control      control.State
	index        fleet.Index
	requests     []*request
	// attempts counts the requests for a slot, dispatches those that were granted.
	attempts, dispatches int
	hedges               int
	crashes              int
	preemptions          int
	promptTokens         int
	cachedTokens         int
}

func newSimulation(p settings, seed uint64) *simulation {
	s := &simulation{settings: p, rand: rand.New(rand.NewPCG(seed, 1)), byID: map[fleet.BackendID]*server{}}
	s.now = epoch
	var ids []fleet.BackendID
	for i := range p.servers {
		v := newServer(s, fleet.BackendID(fmt.Sprintf("b%02d", i)), p.slots)
		s.servers = append(s.servers, v)
		s.byID[v.id] = v
		ids = append(ids, v.id)
	}
	for i := range p.hosts {
		h := &host{outstanding: map[*server]int{}, lengths: length.New(length.Settings{LongTokens: longTokens})}
		hostRand := rand.New(rand.NewPCG(seed, uint64(100+i)))
		h.router = routing.New(routing.Settings{Rand: hostRand})
		h.waiting, h.queued = queue.New(queue.Settings{Limit: 4096}), map[queue.Ticket]*request{}
		h.poison = poison.New(poison.Settings{})
		h.budget = retry.NewBudget(retry.Settings{Rand: hostRand})
		for _, id := range ids {
			h.router.SetBackend(fleet.Announcement{ID: id, Slots: p.slots})
		}
		s.hosts = append(s.hosts, h)
	}
	for i, v := range s.servers {
		if p.readyAfter == nil || p.readyAfter(i) == 0 {
			s.readyServers = append(s.readyServers, v)
			continue
		}
		s.after(p.readyAfter(i), func() { s.addServer(v) })
	}
	s.publishReplicas()
	for i, v := range s.servers {
		s.after(time.Duration(i)*7*time.Millisecond, v.report)
	}
	for i := range p.crashCount {
		s.after(p.crashAt, func() { s.servers[i].crash(p.downFor) })
	}
	return s
}

// active reports whether periodic events continue: until 20 s after the last arrivals, so that open requests can end.
func (s *simulation) active() bool { return s.elapsed() < s.settings.arrivalsUntil+20*time.Second }

func (s *simulation) slowdownFactor(v *server) float64 {
	if s.settings.slowdown == nil {
		return 1
	}
	return s.settings.slowdown(s.elapsed(), slices.Index(s.servers, v))
}

func (s *simulation) crashesServer(a *attempt) bool { return a.request.crashesServers }

func (s *simulation) sortedByID(m map[*attempt]bool) []*attempt {
	out := make([]*attempt, 0, len(m))
	for a := range m {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return out
}

// schedulePoisson schedules arrivals of a Poisson process with a rate that may change with time, but never exceeds maxRate.
func (s *simulation) schedulePoisson(rate func(time.Duration) float64, maxRate float64, newRequest func() *request) {
	var next func()
	next = func() {
		if s.elapsed() >= s.settings.arrivalsUntil {
			return
		}
		if s.rand.Float64() < rate(s.elapsed())/maxRate {
			s.arrive(newRequest())
		}
		s.after(time.Duration(s.rand.ExpFloat64()/maxRate*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *simulation) randomLength(mean float64) int {
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
	r.prediction = h.lengths.Predict(s.features(r))
	repeated := h.repetitions.Seen(s.now, r.origin)
	if s.settings.unboundedRetries {
		s.startAttempt(r, nil)
		return
	}
	if repeated && !h.budget.Spend(s.now, r.tenant) {
		r.retryAfter = time.Second
		s.repeat(r)
		return
	}
	if !repeated {
		h.budget.AddRequest(s.now, r.tenant)
	}
	s.startAttempt(r, nil)
}

// hostOf returns the host of a request; repetitions go to the same host.
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
		q.Prefixes = []routing.Prefix{{Hash: r.session, Length: fleet.Tokens(r.sharedPrefix)}}
	}
	return q
}

// startAttempt starts an attempt of a request at a server chosen by the policy, preferably none of those to avoid. The
// request is queued while no server is up, and dropped if it must not run again because it crashes servers.
func (s *simulation) startAttempt(r *request, avoid []fleet.BackendID) {
	if r.answered {
		return
	}
	h := s.hostOf(r)
	if len(s.readyServers) == 0 {
		s.queueRequest(h, r)
		return
	}
	runAlone := false
	if !s.settings.unboundedRetries {
		switch h.poison.Decide(s.now, r.origin, len(s.readyServers)).(type) {
		case poison.Run:
		case poison.RunAlone:
			runAlone = true
		case poison.Refuse:
			r.answered = true
			return
		}
	}
	r.attempts++
	s.attempts++
	a := &attempt{alone: runAlone, request: r, id: fleet.RequestID(fmt.Sprintf("r%07d-%d", r.id, r.attempts)), host: h}
	switch s.settings.choose {
	case chooseRandom:
		a.server = s.readyServers[s.rand.IntN(len(s.readyServers))]
	case chooseLeast:
		a.server = slices.MinFunc(s.readyServers, func(x, y *server) int { return h.outstanding[x] - h.outstanding[y] })
	case chooseRouter:
		q := s.query(r)
		q.Avoid = avoid
		c, ok := h.router.Choose(s.now, q)
		if !ok {
			q.Avoid = nil
			c, _ = h.router.Choose(s.now, q)
		}
		a.server, a.predictedCached, a.expectedFirstToken = s.byID[c.Backend], c.CachedPrefix, c.FirstToken
	default:
		panic("policy: unknown choice")
	}
	r.inFlight = append(r.inFlight, a)
	h.outstanding[a.server]++
	h.router.Begin(s.now, a.server.id)
	s.after(networkDelay, func() { a.server.acquire(a) })
	if s.settings.twoQueues && len(r.inFlight) == 1 && !s.settings.long(r) {
		s.queueAtSecondServer(r, a, secondQueueDelay)
	}
}

// queueAtSecondServer queues a waiting request also at a second server as soon as the router advises it. It asks the router after
// a delay, which doubles each time. When one server grants the request, the attempt at the other is cancelled.
func (s *simulation) queueAtSecondServer(r *request, a *attempt, delay time.Duration) {
	s.after(delay, func() {
		if a.ended || !a.grantedAt.IsZero() || r.answered || len(r.inFlight) != 1 {
			return
		}
		q := s.query(r)
		q.Avoid = []fleet.BackendID{a.server.id}
		if _, ok := a.host.router.ChooseAlternative(s.now, q, s.now.Sub(a.requestedAt)); ok {
			s.startAttempt(r, q.Avoid)
			return
		}
		s.queueAtSecondServer(r, a, 2*delay)
	})
}

func (s *simulation) scheduleHedge(r *request, a *attempt) {
	if d, ok := a.host.hedges.Delay(target.Model, a.expectedFirstToken, true); ok {
		s.after(d, func() {
			if !a.ended && a.producedTokens == 0 && !r.answered && len(r.inFlight) == 1 && a.host.budget.Spend(s.now, r.tenant) {
				s.hedges++
				s.startAttempt(r, []fleet.BackendID{a.server.id})
			}
		})
	}
}

func (s *simulation) attemptGranted(a *attempt) {
	if s.settings.twoQueues {
		for _, other := range slices.Clone(a.request.inFlight) {
			if other != a && other.grantedAt.IsZero() {
				s.cancelAttempt(other)
			}
		}
	}
	if a.request.waitedForSlot == 0 {
		a.request.waitedForSlot = s.now.Sub(a.request.arrived)
	}
	if s.settings.hedge && len(a.request.inFlight) == 1 {
		s.scheduleHedge(a.request, a)
	}
}

// observeProgress updates the estimates of the host from produced tokens. The first tokens of an attempt cancel the other
// attempts of the request. An output that exceeds the prediction is reported to the owner of the server.
func (s *simulation) observeProgress(a *attempt, tokens int, elapsed time.Duration) {
	r, h := a.request, a.host
	ev := routing.Progress{Backend: a.server.id, Model: target.Model}
	if a.producedTokens == a.request.receivedTokens+tokens {
		ev.FirstToken, ev.Prompt, ev.Cached = elapsed, fleet.Tokens(r.prompt), a.cachedTokens
		h.router.ObserveAnswer(s.now, a.server.id, s.query(r), a.predictedCached, a.cachedTokens)
		s.promptTokens += r.prompt
		s.cachedTokens += int(a.cachedTokens)
		if r.firstToken == 0 {
			r.firstToken = s.now.Sub(r.arrived)
			h.hedges.Observe(target.Model, s.now.Sub(a.grantedAt), a.expectedFirstToken)
		}
		for _, other := range slices.Clone(r.inFlight) {
			if other != a {
				s.cancelAttempt(other)
			}
		}
	} else {
		ev.Tokens, ev.Elapsed = fleet.Tokens(tokens), elapsed
	}
	h.router.Observe(s.now, ev)
	if !s.settings.noPrediction && !a.reportedExceeded && h.lengths.ExceedsPrediction(r.prediction, fleet.Tokens(a.producedTokens)) &&
		a.server.table != nil {
		a.reportedExceeded = true
		a.server.release(a, exceededPrediction)
	}
}

// cancelAttempt cancels a waiting or running attempt.
func (s *simulation) cancelAttempt(a *attempt) {
	s.removeAttempt(a)
	if a.server.running[a] {
		if a.producedTokens == 0 {
			a.host.router.Observe(s.now, routing.Progress{
				Backend: a.server.id, Model: target.Model, FirstToken: s.now.Sub(a.grantedAt), Waiting: true,
				Prompt: fleet.Tokens(a.request.prompt), Cached: a.cachedTokens,
			})
		}
		a.server.finish(a)
		return
	}
	a.ended = true
	a.server.cancelWaiting(a)
}

func (s *simulation) removeAttempt(a *attempt) {
	a.request.inFlight = slices.DeleteFunc(a.request.inFlight, func(x *attempt) bool { return x == a })
	a.host.outstanding[a.server]--
	serviceTime := time.Duration(0)
	if a.producedTokens >= a.request.output {
		serviceTime = s.now.Sub(a.grantedAt)
	}
	a.host.router.End(s.now, a.server.id, serviceTime)
}

func (s *simulation) attemptFinished(a *attempt) {
	s.removeAttempt(a)
	a.host.lengths.Observe(s.features(a.request), fleet.Tokens(a.request.output))
	a.host.repetitions.Forget(a.request.origin)
	a.request.answered, a.request.served, a.request.finished = true, true, s.now
}

func (s *simulation) attemptRefused(a *attempt, refusal *fleet.Refusal) {
	s.removeAttempt(a)
	a.ended = true
	if !s.settings.unboundedRetries {
		a.request.retryAfter = refusal.RetryAfter
	}
	a.request.refusedBy = append(a.request.refusedBy, a.server.id)
	if len(a.request.inFlight) == 0 && len(a.request.refusedBy) <= s.settings.maxRedirects {
		s.startAttempt(a.request, a.request.refusedBy)
		return
	}
	if len(a.request.inFlight) == 0 {
		s.repeat(a.request)
	}
}

// attemptFailed retries the request of an attempt whose server crashed, unless another attempt is in flight.
func (s *simulation) attemptFailed(a *attempt) {
	s.removeAttempt(a)
	if len(a.request.inFlight) > 0 {
		return
	}
	avoid := []fleet.BackendID{a.server.id}
	if s.settings.unboundedRetries {
		if a.request.attempts < 3 {
			s.startAttempt(a.request, avoid)
			return
		}
	} else if wait, ok := a.host.budget.Retry(s.now, a.request.tenant, a.request.attempts, a.request.deadline.Sub(s.now)); ok {
		s.after(wait, func() { s.startAttempt(a.request, avoid) })
		return
	}
	s.repeat(a.request)
}

// repeat simulates the caller of a request that was not answered: it repeats the request, at most maxRepetitions times.
// Half of the callers wait for the retry delay in the refusal; the others wait only 20 ms.
func (s *simulation) repeat(r *request) {
	r.answered = true
	if r.repetition >= s.settings.maxRepetitions {
		return
	}
	next := &request{
		class: r.class, tenant: r.tenant, caller: r.caller, prompt: r.prompt, output: r.output, isLong: r.isLong, origin: r.origin,
		session: r.session, sharedPrefix: r.sharedPrefix, crashesServers: r.crashesServers, repetition: r.repetition + 1,
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
