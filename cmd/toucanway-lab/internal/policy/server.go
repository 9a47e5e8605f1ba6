package policy

import (
	"slices"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/fleet"
	"toucanway/core/queue"
)

const (
	prefillPerToken = 150 * time.Microsecond
	decodePerToken  = 20 * time.Millisecond
	// chunkTokens is the number of tokens between two events of a stream.
	chunkTokens = 8
	// cachedSessions bounds the session prefixes in the cache of a server.
	cachedSessions = 40
	networkDelay   = time.Millisecond
)

// server is a simulated engine together with its capacity owner. If table is nil, the owner is a FIFO queue.
type server struct {
	sim         *simulation
	id          fleet.BackendID
	slots       int
	incarnation int
	down        bool
	running     map[*attempt]bool
	reportSeq   uint64
	eventSeq    uint64
	cache       []uint64

	table        *capacity.Table
	nextTick     time.Time
	waiting      map[fleet.RequestID]*attempt
	fifo         []*attempt
	grantedSlots int
}

// attempt is one attempt to run a request on one server.
type attempt struct {
	request            *request
	id                 fleet.RequestID
	server             *server
	host               *host
	grant              capacity.Grant
	requestedAt        time.Time
	grantedAt          time.Time
	producedTokens     int
	reportedExceeded   bool
	ended              bool
	alone              bool
	incarnation        int
	predictedCached    fleet.Tokens
	expectedFirstToken time.Duration
	cachedTokens       fleet.Tokens
	lastTokensAt       time.Time
}

func newServer(sim *simulation, id fleet.BackendID, slots int) *server {
	v := &server{sim: sim, id: id, slots: slots, running: map[*attempt]bool{}, waiting: map[fleet.RequestID]*attempt{}}
	if !sim.settings.fifo {
		v.table = capacity.New(capacity.Settings{
			Backend: id, Fence: 1, Memory: 1 << 40, Slots: slots, OwnedSince: epoch.Add(-time.Hour),
			Preempt: sim.settings.maxPreemptions > 0, Long: queue.LongRule{MaxShare: sim.settings.longShare, ReleaseDelay: sim.settings.longReleaseDelay}, Queue: sim.settings.queue,
		})
		v.handle(capacity.ReplicasEvent{Replicas: []capacity.Replica{{Order: 1, Model: target.Model, Ready: true}}})
	}
	return v
}

func (v *server) handle(ev capacity.Event) {
	if v.table == nil {
		return
	}
	for _, e := range v.table.Handle(v.sim.now, ev) {
		switch e := e.(type) {
		case capacity.Granted:
			// A grant may cross a cancellation on the way, which releases it.
			if a := v.waiting[e.Grant.Request]; a != nil {
				delete(v.waiting, e.Grant.Request)
				a.grant = e.Grant
				v.run(a)
			}
		case capacity.Refused:
			// A refusal may cross a cancellation on the way.
			if a := v.waiting[e.Request]; a != nil {
				delete(v.waiting, e.Request)
				v.sim.attemptRefused(a, e.Refusal)
			}
		case capacity.ReadInventory:
			asked := v.sim.now
			v.sim.after(networkDelay, func() { v.handle(capacity.InventoryEvent{Asked: asked, Inventory: v.inventory()}) })
		case capacity.Preempt:
			v.sim.after(2*networkDelay, func() { v.preempt(e.Grant.Request) })
		case capacity.Cancelled, capacity.AdmitLoad, capacity.LoadAdapter, capacity.UnloadAdapter:
		default:
			panic("policy: unknown effect")
		}
	}
	if at, ok := v.table.NextTick(); ok && (v.nextTick.Before(v.sim.now) || v.nextTick.IsZero() || at.Before(v.nextTick)) && v.sim.active() {
		v.nextTick = at
		v.sim.at(at, func() { v.handle(capacity.TickEvent{}) })
	}
}

func (v *server) inventory() fleet.Inventory {
	inv := fleet.Inventory{Backend: v.id}
	for a := range v.running {
		inv.Running = append(inv.Running, fleet.RunningRequest{Request: a.id})
	}
	return inv
}

// acquire requests a slot for an attempt.
func (v *server) acquire(a *attempt) {
	a.requestedAt = v.sim.now
	if v.table == nil {
		v.fifo = append(v.fifo, a)
		v.grantFIFO()
		return
	}
	v.waiting[a.id] = a
	v.handle(capacity.AcquireEvent{Acquire: capacity.Acquire{
		Target: target,
		Host:   "h", Request: a.id, Class: a.request.class, Tenant: a.request.tenant, Deadline: a.request.deadline.Sub(v.sim.now),
		Tokens: a.request.prediction.Mean + fleet.Tokens(a.request.prompt), Long: v.sim.settings.long(a.request) || a.request.receivedTokens > 0,
		Alone: a.alone, Resumed: a.request.receivedTokens > 0, Preemptible: a.request.preemptions < v.sim.settings.maxPreemptions,
	}})
}

// grantFIFO grants free slots to the attempts in the FIFO queue.
func (v *server) grantFIFO() {
	for v.grantedSlots < v.slots && len(v.fifo) > 0 {
		a := v.fifo[0]
		v.fifo = v.fifo[1:]
		if !a.ended {
			v.grantedSlots++
			v.run(a)
		}
	}
}

func (v *server) release(a *attempt, o capacity.Outcome) {
	if v.table == nil {
		v.grantedSlots--
		v.grantFIFO()
		return
	}
	v.handle(capacity.ReleaseEvent{Release: capacity.Release{
		Fence: 1, ID: a.grant.ID, Host: "h", Outcome: o, Tokens: fleet.Tokens(a.request.prompt + a.producedTokens),
	}})
}

// reportQueueState reports the state of the owner's queue to a host.
func (v *server) reportQueueState(h *host) {
	if v.table != nil {
		q := v.table.State(v.sim.now)
		h.router.ObserveOwnerState(v.sim.now, v.id, q.Granted, q.Waiting, q.Wait)
	}
}

// run runs a granted attempt. A server that is down fails it.
func (v *server) run(a *attempt) {
	if a.ended {
		v.release(a, capacity.OutcomeUnused)
		return
	}
	v.reportQueueState(a.host)
	v.sim.dispatches++
	a.grantedAt = v.sim.now
	v.sim.attemptGranted(a)
	a.incarnation = v.incarnation
	v.running[a] = true
	if v.down {
		v.sim.after(networkDelay, func() {
			if !a.ended {
				v.finish(a)
				v.sim.attemptFailed(a)
			}
		})
		return
	}
	for i, p := range v.cache {
		if p == a.request.session {
			a.cachedTokens = fleet.Tokens(a.request.sharedPrefix)
			v.cache = append(v.cache[:i:i], v.cache[i+1:]...)
			break
		}
	}
	v.cachePrefix(a.request)
	work := time.Duration(a.request.prompt+a.request.receivedTokens-int(a.cachedTokens)) * prefillPerToken
	a.producedTokens = a.request.receivedTokens
	v.produce(a, time.Duration(float64(work)*v.sim.slowdownFactor(v)), 1)
}

// cachePrefix adds the prefix of a session to the cache and publishes cache events.
func (v *server) cachePrefix(r *request) {
	if r.session == 0 {
		return
	}
	v.cache = append(v.cache, r.session)
	v.publish(r.session, fleet.Tokens(r.sharedPrefix), false)
	if len(v.cache) > cachedSessions {
		v.publish(v.cache[0], 0, true)
		v.cache = v.cache[1:]
	}
}

// publish sends a cache event to all hosts after 300 ms; a tenth of the events are lost.
func (v *server) publish(session uint64, length fleet.Tokens, evicted bool) {
	v.eventSeq++
	ev := fleet.CacheEvent{Backend: v.id, Seq: v.eventSeq, Target: target, Prefix: session, Length: length, Evicted: evicted}
	if v.sim.rand.Float64() < 0.1 {
		return
	}
	v.sim.after(300*time.Millisecond, func() {
		for _, h := range v.sim.hosts {
			h.router.CacheEvent(v.sim.now, ev)
		}
	})
}

// produce produces tokens after a delay, unless the attempt has ended by then, and schedules the next step until the output is
// complete.
func (v *server) produce(a *attempt, d time.Duration, tokens int) {
	a.lastTokensAt = v.sim.now
	v.sim.after(d, func() {
		if a.ended || v.incarnation != a.incarnation {
			return
		}
		if v.sim.crashesServer(a) {
			v.crash(time.Second)
			return
		}
		a.producedTokens += tokens
		v.sim.observeProgress(a, tokens, v.sim.now.Sub(a.lastTokensAt))
		if a.ended {
			return
		}
		if a.producedTokens >= a.request.output {
			v.finish(a)
			v.sim.attemptFinished(a)
			return
		}
		n := min(chunkTokens, a.request.output-a.producedTokens)
		v.produce(a, time.Duration(float64(time.Duration(n)*decodePerToken)*v.sim.slowdownFactor(v)), n)
	})
}

// preempt preempts a running attempt; its request is sent again and resumes after the tokens produced so far.
func (v *server) preempt(id fleet.RequestID) {
	for a := range v.running {
		if a.id == id {
			a.request.preemptions++
			a.request.receivedTokens = a.producedTokens
			a.ended = true
			delete(v.running, a)
			v.release(a, capacity.OutcomePreempted)
			v.sim.removeAttempt(a)
			v.sim.preemptions++
			a.request.deadline = v.sim.now.Add(time.Minute)
			v.sim.startAttempt(a.request, nil)
			return
		}
	}
}

// finish stops an attempt and frees its slot.
func (v *server) finish(a *attempt) {
	a.ended = true
	if v.running[a] {
		delete(v.running, a)
		v.release(a, capacity.OutcomeDone)
	}
}

// crash ends all running attempts and clears the cache; the server is up again after downFor.
func (v *server) crash(downFor time.Duration) {
	if v.down {
		return
	}
	v.incarnation++
	v.cache = nil
	v.sim.crashes++
	lost := v.sim.sortedByID(v.running)
	v.sim.recordCrash(v, lost)
	for _, a := range lost {
		delete(v.running, a)
		a.ended = true
	}
	if downFor > 0 {
		v.down = true
		v.sim.readyServers = slices.DeleteFunc(v.sim.readyServers, func(x *server) bool { return x == v })
		v.sim.publishReplicas()
		v.sim.after(downFor, func() {
			v.down = false
			v.sim.addServer(v)
		})
	}
	for _, a := range lost {
		v.release(a, capacity.OutcomeDone)
		v.sim.attemptFailed(a)
	}
}

// report sends a load report to all hosts with a delay of one second, and schedules the next one.
func (v *server) report() {
	v.reportSeq++
	rep := fleet.LoadReport{
		Backend: v.id, Seq: v.reportSeq, Running: len(v.running), Queued: len(v.waiting) + len(v.fifo), Age: time.Second,
	}
	v.sim.after(rep.Age, func() {
		for _, h := range v.sim.hosts {
			h.router.Report(v.sim.now, rep)
		}
	})
	if v.sim.active() {
		v.sim.after(500*time.Millisecond, v.report)
	}
}
