package policy

import (
	"slices"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/fleet"
	"toucanway/core/queue"
)

const (
	prefillToken = 150 * time.Microsecond
	outputToken  = 20 * time.Millisecond
	// chunk is the number of tokens between two events of a stream.
	chunk = 8
	// cachedSessions bounds the prefixes that a fake engine keeps.
	cachedSessions = 40
	oneWay         = time.Millisecond
)

// server is a fake engine with its capacity owner.
type server struct {
	s       *simulation
	id      fleet.BackendID
	slots   int
	life    int
	down    bool
	running map[*attempt]bool
	seq     uint64
	events  uint64
	cache   []uint64

	table   *capacity.Table
	tick    time.Time
	waiting map[fleet.RequestID]*attempt
	fifo    []*attempt
	granted int
}

// attempt is one try to run a request on one server.
type attempt struct {
	r        *request
	id       fleet.RequestID
	server   *server
	host     *host
	grant    capacity.Grant
	asked    time.Time
	granted  time.Time
	produced int
	outgrown bool
	over     bool
	alone    bool
	life     int
	believed fleet.Tokens
	expected time.Duration
	cached   fleet.Tokens
	last     time.Time
}

func newServer(s *simulation, id fleet.BackendID, slots int) *server {
	v := &server{s: s, id: id, slots: slots, running: map[*attempt]bool{}, waiting: map[fleet.RequestID]*attempt{}}
	if !s.p.fifo {
		v.table = capacity.New(capacity.Settings{
			Backend: id, Fence: 1, Memory: 1 << 40, Slots: slots, Taken: epoch.Add(-time.Hour),
			Preempt: s.p.preempt > 0, Long: queue.LongRule{Share: s.p.longShare, Hold: s.p.longHold}, Queue: s.p.queue,
		})
		v.handle(capacity.ReplicasEvent{Replicas: []capacity.Replica{{Order: 1, Model: target.Model, Ready: true}}})
	}
	return v
}

func (v *server) handle(ev capacity.Event) {
	if v.table == nil {
		return
	}
	for _, e := range v.table.Handle(v.s.now, ev) {
		switch e := e.(type) {
		case capacity.Granted:
			// A grant may cross a cancellation, which ends it.
			if a := v.waiting[e.Grant.Request]; a != nil {
				delete(v.waiting, e.Grant.Request)
				a.grant = e.Grant
				v.begin(a)
			}
		case capacity.Refused:
			// A refusal may cross a cancellation.
			if a := v.waiting[e.Request]; a != nil {
				delete(v.waiting, e.Request)
				v.s.refused(a, e.Refusal)
			}
		case capacity.ReadInventory:
			asked := v.s.now
			v.s.after(oneWay, func() { v.handle(capacity.InventoryEvent{Asked: asked, Inventory: v.inventory()}) })
		case capacity.Preempt:
			v.s.after(2*oneWay, func() { v.stop(e.Grant.Request) })
		case capacity.Cancelled, capacity.AdmitLoad, capacity.LoadAdapter, capacity.UnloadAdapter:
		default:
			panic("policy: unknown effect")
		}
	}
	if at, ok := v.table.NextTick(); ok && (v.tick.Before(v.s.now) || v.tick.IsZero() || at.Before(v.tick)) && v.s.live() {
		v.tick = at
		v.s.at(at, func() { v.handle(capacity.TickEvent{}) })
	}
}

func (v *server) inventory() fleet.Inventory {
	inv := fleet.Inventory{Backend: v.id}
	for a := range v.running {
		inv.Running = append(inv.Running, fleet.RunningRequest{Request: a.id})
	}
	return inv
}

// acquire queues an attempt for a slot.
func (v *server) acquire(a *attempt) {
	a.asked = v.s.now
	if v.table == nil {
		v.fifo = append(v.fifo, a)
		v.pump()
		return
	}
	v.waiting[a.id] = a
	v.handle(capacity.AcquireEvent{Acquire: capacity.Acquire{
		Target: target,
		Host:   "h", Request: a.id, Class: a.r.class, Tenant: a.r.tenant, Deadline: a.r.deadline.Sub(v.s.now),
		Tokens: a.r.predicted.Mean + fleet.Tokens(a.r.prompt), Long: v.s.p.long(a.r) || a.r.done > 0,
		Alone: a.alone, Resumed: a.r.done > 0, Preemptible: a.r.preempted < v.s.p.preempt,
	}})
}

func (v *server) pump() {
	for v.granted < v.slots && len(v.fifo) > 0 {
		a := v.fifo[0]
		v.fifo = v.fifo[1:]
		if !a.over {
			v.granted++
			v.begin(a)
		}
	}
}

func (v *server) release(a *attempt, o capacity.Outcome) {
	if v.table == nil {
		v.granted--
		v.pump()
		return
	}
	v.handle(capacity.ReleaseEvent{Release: capacity.Release{
		Fence: 1, ID: a.grant.ID, Host: "h", Outcome: o, Tokens: fleet.Tokens(a.r.prompt + a.produced),
	}})
}

// tell gives the host that asked the state of the queue.
func (v *server) tell(h *host) {
	if v.table != nil {
		q := v.table.State(v.s.now)
		h.router.OwnerState(v.s.now, v.id, q.Granted, q.Waiting, q.Wait)
	}
}

// begin runs a granted attempt.
func (v *server) begin(a *attempt) {
	if a.over {
		v.release(a, capacity.OutcomeUnused)
		return
	}
	v.tell(a.host)
	v.s.dispatches++
	a.granted = v.s.now
	v.s.granted(a)
	a.life = v.life
	v.running[a] = true
	if v.down {
		v.s.after(oneWay, func() {
			if !a.over {
				v.end(a)
				v.s.failed(a)
			}
		})
		return
	}
	for i, p := range v.cache {
		if p == a.r.session {
			a.cached = fleet.Tokens(a.r.shared)
			v.cache = append(v.cache[:i:i], v.cache[i+1:]...)
			break
		}
	}
	v.remember(a.r)
	work := time.Duration(a.r.prompt+a.r.done-int(a.cached)) * prefillToken
	a.produced = a.r.done
	v.step(a, time.Duration(float64(work)*v.s.slowness(v)), 1)
}

// remember keeps a session's prefix and publishes cache events, of which some are lost.
func (v *server) remember(r *request) {
	if r.session == 0 {
		return
	}
	v.cache = append(v.cache, r.session)
	v.publish(r.session, fleet.Tokens(r.shared), false)
	if len(v.cache) > cachedSessions {
		v.publish(v.cache[0], 0, true)
		v.cache = v.cache[1:]
	}
}

func (v *server) publish(session uint64, length fleet.Tokens, evicted bool) {
	v.events++
	ev := fleet.CacheEvent{Backend: v.id, Seq: v.events, Target: target, Prefix: session, Length: length, Evicted: evicted}
	if v.s.rand.Float64() < 0.1 {
		return
	}
	v.s.after(300*time.Millisecond, func() {
		for _, h := range v.s.hosts {
			h.router.CacheEvent(v.s.now, ev)
		}
	})
}

// step produces tokens after a delay, unless the attempt ended meanwhile.
func (v *server) step(a *attempt, d time.Duration, tokens int) {
	a.last = v.s.now
	v.s.after(d, func() {
		if a.over || v.life != a.life {
			return
		}
		if v.s.kills(a) {
			v.crash(time.Second)
			return
		}
		a.produced += tokens
		v.s.progress(a, tokens, v.s.now.Sub(a.last))
		if a.over {
			return
		}
		if a.produced >= a.r.output {
			v.end(a)
			v.s.finished(a)
			return
		}
		n := min(chunk, a.r.output-a.produced)
		v.step(a, time.Duration(float64(time.Duration(n)*outputToken)*v.s.slowness(v)), n)
	})
}

// stop preempts a running attempt; its request resumes after the tokens that it has.
func (v *server) stop(id fleet.RequestID) {
	for a := range v.running {
		if a.id == id {
			a.r.preempted++
			a.r.done = a.produced
			a.over = true
			delete(v.running, a)
			v.release(a, capacity.OutcomePreempted)
			v.s.leave(a)
			v.s.stops++
			a.r.deadline = v.s.now.Add(time.Minute)
			v.s.try(a.r, nil)
			return
		}
	}
}

// end stops an attempt and frees its slot.
func (v *server) end(a *attempt) {
	a.over = true
	if v.running[a] {
		delete(v.running, a)
		v.release(a, capacity.OutcomeDone)
	}
}

// crash ends all running attempts; the server is back after a while with an empty cache.
func (v *server) crash(downFor time.Duration) {
	if v.down {
		return
	}
	v.life++
	v.cache = nil
	v.s.crashes++
	lost := v.s.sorted(v.running)
	v.s.recordCrash(v, lost)
	for _, a := range lost {
		delete(v.running, a)
		a.over = true
	}
	if downFor > 0 {
		v.down = true
		v.s.up = slices.DeleteFunc(v.s.up, func(x *server) bool { return x == v })
		v.s.replicas()
		v.s.after(downFor, func() {
			v.down = false
			v.s.join(v)
		})
	}
	for _, a := range lost {
		v.release(a, capacity.OutcomeDone)
		v.s.failed(a)
	}
}

// report publishes the load with a lag.
func (v *server) report() {
	v.seq++
	rep := fleet.LoadReport{
		Backend: v.id, Seq: v.seq, Running: len(v.running), Queued: len(v.waiting) + len(v.fifo), Age: time.Second,
	}
	v.s.after(rep.Age, func() {
		for _, h := range v.s.hosts {
			h.router.Report(v.s.now, rep)
		}
	})
	if v.s.live() {
		v.s.after(500*time.Millisecond, v.report)
	}
}
