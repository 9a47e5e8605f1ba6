package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/length"
	"toucanway/core/poison"
	"toucanway/core/retry"
	"toucanway/core/routing"
	"toucanway/io/callers"
	"toucanway/io/follow"
)

// policy makes this host's decisions about requests, based on the control state, observations of its own requests and reports of
// backend servers. Lock order: mu, then the follower's lock.
//
// applied and version are the log index and the document that the router and the limits are based on; knownBackends and
// readyModels are the backend servers and the models that the router has.
type policy struct {
	follower *follow.Follower
	document func() *config.Document

	mu            sync.Mutex
	router        *routing.Router
	length        *length.Predictor
	hedges        retry.Hedges
	repetitions   retry.Repetitions
	budget        *retry.Budget
	poison        *poison.View
	rng           *rand.Rand
	applied       fleet.Index
	knownBackends map[fleet.BackendID]bool
	readyModels   map[fleet.ModelID]bool
	version       fleet.DocumentVersion
	// hosts is the number of hosts with a session, which share the limits of the deployment.
	hosts int
}

func newPolicy(cfg Settings) *policy {
	p := &policy{
		follower: cfg.Follower, length: length.New(length.Settings{}), poison: poison.New(poison.Settings{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), knownBackends: map[fleet.BackendID]bool{}, readyModels: map[fleet.ModelID]bool{},
	}
	p.document = func() *config.Document {
		doc, _ := cfg.Follower.Document()
		return doc
	}
	p.router = routing.New(routing.Settings{
		Place: cfg.Place, Rand: p.rng, RegionBudget: p.regionBudget, LeastOutstanding: cfg.Policies.LeastOutstanding,
	})
	p.budget = retry.NewBudget(retry.Settings{Rand: p.rng})
	return p
}

// regionBudget returns the bytes a second that this host may move between regions for a tenant.
func (p *policy) regionBudget(id fleet.TenantID) fleet.Bytes {
	return p.document().CrossRegionRate(id, p.hosts)
}

// sync applies changes of the control state since the last call; mu must be held.
func (p *policy) sync(now time.Time) {
	p.follower.Read(func(s *control.State) {
		if s.Applied() == p.applied {
			return
		}
		p.applied = s.Applied()
		p.syncBackends(s)
		p.syncReplicas(s)
		p.hosts = len(s.Sessions())
		p.poison.SetCrashRecords(now, s.CrashRecords())
	})
	p.syncLimits()
}

func (p *policy) syncBackends(s *control.State) {
	present := map[fleet.BackendID]bool{}
	for _, b := range s.Backends() {
		if b.Lost || b.Announcement.Kind != fleet.KindEngine {
			continue
		}
		present[b.Announcement.ID] = true
		p.router.SetBackend(b.Announcement)
	}
	for id := range p.knownBackends {
		if !present[id] {
			p.router.RemoveBackend(id)
		}
	}
	p.knownBackends = present
}

func (p *policy) syncReplicas(s *control.State) {
	ready := map[fleet.ModelID][]fleet.BackendID{}
	for _, r := range s.AllReplicas() {
		if b, ok := s.Backend(r.Backend); r.State == control.ReplicaReady && ok && !b.Leaving && !b.Lost {
			ready[r.Model] = append(ready[r.Model], r.Backend)
		}
	}
	for id := range p.readyModels {
		if ready[id] == nil {
			p.router.SetReplicas(id, nil)
			delete(p.readyModels, id)
		}
	}
	for id, on := range ready {
		p.router.SetReplicas(id, on)
		p.readyModels[id] = true
	}
}

// syncLimits applies the limits of the document after it has changed.
func (p *policy) syncLimits() {
	doc, version := p.follower.Document()
	if version == p.version {
		return
	}
	p.version = version
	l := doc.Limits
	p.budget = retry.NewBudget(retry.Settings{
		RetriesPerRequest: l.RetryShare, MinRetriesPerSecond: float64(l.RetriesPerSecond), Attempts: l.MaxAttempts, Rand: p.rng,
	})
	p.poison = poison.New(poison.Settings{Expiry: l.PoisonExpiry})
	p.follower.Read(func(s *control.State) { p.poison.SetCrashRecords(time.Now(), s.CrashRecords()) })
}

// replicas returns the number of ready replicas of a model.
func (p *policy) replicas(m fleet.ModelID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(time.Now())
	return p.router.Replicas(m)
}

// choose returns the backend server for a request and its entry in the control state. It returns false if there is none, or if
// the chosen one is lost or leaving.
func (p *policy) choose(now time.Time, q *routing.Request) (routing.Choice, control.Backend, bool) {
	p.mu.Lock()
	p.sync(now)
	c, ok := p.router.Choose(now, q)
	p.mu.Unlock()
	if !ok {
		return c, control.Backend{}, false
	}
	var b control.Backend
	p.follower.Read(func(s *control.State) { b, ok = s.Backend(c.Backend) })
	return c, b, ok && !b.Lost && !b.Leaving
}

// observeOwner records the queue state of a backend server that its capacity owner reported.
func (p *policy) observeOwner(now time.Time, id fleet.BackendID, q capacity.QueueState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.ObserveOwnerState(now, id, q.Granted, q.Waiting, q.Wait)
}

func (p *policy) beginAttempt(now time.Time, id fleet.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Begin(now, id)
}

// endAttempt records the end of an attempt and, if it crossed regions, its traffic.
func (p *policy) endAttempt(now time.Time, at *attempt, tenant fleet.TenantID, traffic fleet.Bytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.End(now, at.backend.Announcement.ID, now.Sub(at.sentAt))
	if at.choice.CrossRegion {
		p.router.Charge(now, tenant, traffic)
	}
}

func (p *policy) observeProgress(now time.Time, o routing.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Observe(now, o)
}

// observeFirstToken records the time from dispatch to the first token of an attempt.
func (p *policy) observeFirstToken(now time.Time, at *attempt, o routing.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Observe(now, o)
	p.hedges.Observe(o.Model, o.FirstToken, at.choice.FirstToken)
}

// observeCached records how much of the prompt an engine found in its prefix cache.
func (p *policy) observeCached(now time.Time, at *attempt, q *routing.Request, cached fleet.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := at.backend.Announcement.ID
	p.router.ObserveAnswer(now, id, q, at.choice.CachedPrefix, cached)
	if q.Target.Adapter != "" {
		p.router.SetAdapter(id, q.Target, true)
	}
}

// hedgeDelay returns the time from dispatch after which an attempt without a first token is hedged, and whether it may be.
func (p *policy) hedgeDelay(m fleet.ModelID, at *attempt) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedges.Delay(m, at.choice.FirstToken, true)
}

// admit adds a new request to the tenant's retry budget, or charges a repetition to it and reports whether the budget allows it.
// Repetitions for a model without ready replicas are not charged, since a refusal asked their callers to retry later.
func (p *policy) admit(now time.Time, id fleet.TenantID, f fleet.Fingerprint, m fleet.ModelID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(now)
	if p.repetitions.Seen(now, f) && p.router.Replicas(m) > 0 {
		return p.budget.Spend(now, id)
	}
	p.budget.AddRequest(now, id)
	return true
}

// addRequest adds a new request to the tenant's retry budget.
func (p *policy) addRequest(now time.Time, id fleet.TenantID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.AddRequest(now, id)
}

// spend charges one retry or hedge to the tenant's retry budget and reports whether the budget allows it.
func (p *policy) spend(now time.Time, id fleet.TenantID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Spend(now, id)
}

// retry decides on another attempt and returns the backoff before it, or false if none is allowed. An attempt that is necessary
// because a backend server has failed is not charged to the tenant (uncharged is set), since the requests that the server ran
// bound the number of such attempts.
func (p *policy) retry(now time.Time, id fleet.TenantID, attempts, maxAttempts int, left time.Duration, uncharged bool) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !uncharged {
		return p.budget.Retry(now, id, attempts, left)
	}
	wait := p.budget.Backoff(attempts)
	return wait, attempts < maxAttempts && wait < left
}

func (p *policy) predict(r length.Request) length.Prediction {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length.Predict(r)
}

func (p *policy) exceedsPrediction(pred length.Prediction, produced fleet.Tokens) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length.ExceedsPrediction(pred, produced)
}

// observeCompletion records a request that was answered in full, with the length of its output.
func (p *policy) observeCompletion(r length.Request, f fleet.Fingerprint, output fleet.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.length.Observe(r, output)
	p.repetitions.Forget(f)
}

// decide returns how a request may run, given the crashes that it is suspected of.
func (p *policy) decide(now time.Time, f fleet.Fingerprint, m fleet.ModelID) poison.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(now)
	return p.poison.Decide(now, f, p.router.Replicas(m))
}

func (p *policy) suspect(now time.Time, fps []fleet.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poison.Suspect(now, fps...)
}

// completed removes the suspicion of a request that ran to its end, and reports whether a commit has to clear it.
func (p *policy) completed(f fleet.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.poison.Completed(f)
}

// Report passes a load report of a backend server to the router.
func (d *Dispatcher) Report(now time.Time, r fleet.LoadReport) {
	d.policy.mu.Lock()
	defer d.policy.mu.Unlock()
	d.policy.router.Report(now, r)
}

// CacheEvents passes changes of engines' prefix caches to the router.
func (d *Dispatcher) CacheEvents(now time.Time, events []fleet.CacheEvent) {
	d.policy.mu.Lock()
	defer d.policy.mu.Unlock()
	for _, ev := range events {
		d.policy.router.CacheEvent(now, ev)
	}
}

func fingerprintOf(c *callers.Completion) fleet.Fingerprint {
	return poison.Fingerprint(c.Identity.Tenant, c.Target.String(), c.Body)
}
