package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/io/engines"
	"toucanway/io/follow"
	"toucanway/io/hosts"
	"toucanway/io/jobs"
	"toucanway/io/ledgers"
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
	Policies Policies
	Seed     uint64
}

// Policies replace request decisions by simpler ones for measurements; the zero value means those of the product.
type Policies struct {
	// LeastOutstanding routes by the number of this host's own requests under way.
	LeastOutstanding bool
	// NoHedging makes no second attempt of a request whose first token is late.
	NoHedging bool
}

// Dispatcher carries requests to backend servers. It is safe for concurrent use.
type Dispatcher struct {
	cfg         Settings
	policy      *policy
	metrics     dispatchMetrics
	jobs        jobs.Group
	requests    gate
	outstanding counts
	inflight    inflight
	running     running
	crashes     crashes
	draining    atomic.Bool
}

// New returns a dispatcher.
func New(cfg Settings) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, policy: newPolicy(cfg), metrics: newDispatchMetrics(cfg.Metrics),
	}
}

// Run takes work until the context ends, and waits for what goes on behind finished requests.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.jobs.Start(ctx)
	<-ctx.Done()
	return d.jobs.Stop()
}

// Drain refuses new requests from now on.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// WaitIdle returns once no request is under way, or with the context's error.
func (d *Dispatcher) WaitIdle(ctx context.Context) error { return d.requests.wait(ctx) }

// Requests returns the number of requests under way.
func (d *Dispatcher) Requests() int { return d.requests.count() }

// admit checks that this host may take new work and returns the document in force.
func (d *Dispatcher) admit() (*config.Document, *fleet.Refusal) {
	if !d.cfg.Follower.HasLease(time.Now()) {
		return nil, fleet.Refuse(fleet.CodeConfigurationStale, staleRetry,
			"the host cannot confirm that its configuration is the newest; use another host")
	}
	if d.draining.Load() {
		return nil, fleet.Refuse(fleet.CodeHostDraining, drainRetry, "the host shuts down; ask GET /v1/hosts and use another host")
	}
	doc, _ := d.cfg.Follower.Document()
	return doc, nil
}

const (
	staleRetry = time.Second
	drainRetry = 100 * time.Millisecond
)

// deadlineOf returns the time that a request may wait, within the document's bounds.
func deadlineOf(doc *config.Document, asked time.Duration) time.Duration {
	if asked == 0 {
		return doc.Limits.DefaultDeadline
	}
	return min(asked, doc.Limits.MaxDeadline)
}

// gate counts the requests under way, so that a shutdown can wait for them.
type gate struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

// begin counts a request until the returned function is called.
func (g *gate) begin() func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.n == 0 {
		g.idle = make(chan struct{})
	}
	g.n++
	var once sync.Once
	return func() { once.Do(g.end) }
}

func (g *gate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 {
		close(g.idle)
	}
}

// count returns the requests under way.
func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}

// wait returns once no request is under way, or when the context ends.
func (g *gate) wait(ctx context.Context) error {
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

// counts holds a number for each backend server.
type counts struct {
	mu sync.Mutex
	n  map[fleet.BackendID]int
}

func (c *counts) begin(id fleet.BackendID) func() {
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

func (c *counts) of(id fleet.BackendID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[id]
}
