package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/io/engines"
	"toucanway/io/follow"
	"toucanway/io/hosts"
	"toucanway/io/jobs"
	"toucanway/io/ledgers"
	"toucanway/io/logs"
	"toucanway/io/metrics"
	"toucanway/io/network"
	"toucanway/io/owner"
	"toucanway/io/planning"
	"toucanway/io/services"
)

// Settings of a Dispatcher.
type Settings struct {
	Host     fleet.HostID
	Place    fleet.Place
	Follower *follow.Follower
	Owner    *owner.Owner
	Client   *hosts.Client
	Network  network.Network
	Engines  *engines.Client
	Services *services.Client
	Ledger   *ledgers.Client
	Reporter *planning.Reporter
	Metrics  *metrics.Registry
	// Log is the logger of failed attempts; nil means none.
	Log      *zap.Logger
	Policies Policies
	Seed     uint64
}

// Policies replace decisions about requests by simpler ones for measurements; the zero value replaces none.
type Policies struct {
	// LeastOutstanding routes by the number of this host's own requests in flight alone.
	LeastOutstanding bool
	// NoHedging disables hedges of requests whose first token is late.
	NoHedging bool
}

// Dispatcher sends requests to backend servers. It is safe for concurrent use.
type Dispatcher struct {
	cfg           Settings
	policy        *policy
	metrics       dispatchMetrics
	jobs          jobs.Group
	requests      requestCounter
	callsInFlight callCounts
	inflight      inflightRequests
	running       runningAttempts
	crashes       crashes
	draining      atomic.Bool
}

// New returns a dispatcher.
func New(cfg Settings) *Dispatcher {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Dispatcher{
		cfg: cfg, policy: newPolicy(cfg), metrics: newDispatchMetrics(cfg.Metrics),
	}
}

// logAttemptFailed is the log line of an attempt at a backend server that has not brought a complete answer.
const logAttemptFailed = "attempt at a backend server failed"

// logFailure logs why an attempt has failed. The caller is not told: the error may name servers, or quote bytes of theirs, which may belong to
// another caller.
func (d *Dispatcher) logFailure(id fleet.RequestID, err error) {
	d.cfg.Log.Info(logAttemptFailed, zap.String("request", string(id)), logs.ErrorField(err))
}

// Run accepts background jobs until the context ends, then waits for those that are still running.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.jobs.Start(ctx)
	<-ctx.Done()
	return d.jobs.Stop()
}

// Drain refuses new requests from now on.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// WaitIdle returns once no request is in flight, or with the context's error.
func (d *Dispatcher) WaitIdle(ctx context.Context) error { return d.requests.wait(ctx) }

// RequestsInFlight returns the number of requests in flight.
func (d *Dispatcher) RequestsInFlight() int { return d.requests.count() }

// admit checks that this host may accept new requests and returns the document in force.
func (d *Dispatcher) admit() (*config.Document, *fleet.Refusal) {
	if !d.cfg.Follower.HasLease(time.Now()) {
		return nil, fleet.Refuse(fleet.CodeConfigurationStale, staleRetryAfter,
			"the host cannot confirm that its configuration is the newest; use another host")
	}
	if d.draining.Load() {
		return nil, fleet.Refuse(fleet.CodeHostDraining, drainRetryAfter, "the host is shutting down; use another host that GET /v1/hosts lists")
	}
	doc, _ := d.cfg.Follower.Document()
	return doc, nil
}

// Delays before a retry that refusals suggest.
const (
	staleRetryAfter = time.Second
	drainRetryAfter = 100 * time.Millisecond
)

// deadlineOf returns the time that a request may take: the requested time up to the document's maximum, or the default if none is
// requested.
func deadlineOf(doc *config.Document, requested time.Duration) time.Duration {
	if requested == 0 {
		return doc.Limits.DefaultDeadline
	}
	return min(requested, doc.Limits.MaxDeadline)
}

// requestCounter counts the requests in flight, so that a shutdown can wait for them.
type requestCounter struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

// begin counts a request until the returned function is called.
func (g *requestCounter) begin() func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.n == 0 {
		g.idle = make(chan struct{})
	}
	g.n++
	var once sync.Once
	return func() { once.Do(g.end) }
}

func (g *requestCounter) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 {
		close(g.idle)
	}
}

func (g *requestCounter) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}

// wait returns once no request is in flight, or with the context's error.
func (g *requestCounter) wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		n, idle := g.n, g.idle
		g.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle:
		}
	}
}

// callCounts holds the number of calls in flight at each backend server.
type callCounts struct {
	mu sync.Mutex
	n  map[fleet.BackendID]int
}

func (c *callCounts) begin(id fleet.BackendID) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[fleet.BackendID]int{}
	}
	c.n[id]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.n[id]--; c.n[id] == 0 {
			delete(c.n, id)
		}
	}
}

func (c *callCounts) get(id fleet.BackendID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[id]
}
