package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultRetriesPerRequest   = 0.1
	DefaultMinRetriesPerSecond = 1.0
	DefaultBurst               = 10.0
	DefaultAttempts            = 3
	DefaultBackoff             = 25 * time.Millisecond
	DefaultMaxBackoff          = time.Second
	DefaultTenants             = 4096
)

// Settings configure a Budget; zero fields mean the defaults above.
type Settings struct {
	// RetriesPerRequest is the number of retries and hedges that each request adds to its tenant's allowance.
	RetriesPerRequest float64
	// MinRetriesPerSecond is the number of retries and hedges that each second adds to a tenant's allowance, even without requests.
	MinRetriesPerSecond float64
	// Burst bounds the allowance that accumulates unused.
	Burst float64
	// Initial is the allowance with which a tenant starts; 0 means that of one second, MinRetriesPerSecond.
	Initial float64
	// Attempts bounds the attempts of one request, the first included.
	Attempts int
	// Backoff bounds the random backoff before the first retry; the mean is half of it. The bound doubles with each retry up to
	// MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// Tenants bounds the tenants whose allowance is kept; the least recently used one is dropped.
	Tenants int
	// Rand draws the jitter; required.
	Rand *rand.Rand
}

// Budget limits the retries and hedges of each tenant with a token bucket. It is not safe for concurrent use.
type Budget struct {
	cfg     Settings
	tenants map[fleet.TenantID]*allowance
}

// allowance is the token bucket of one tenant; each retry or hedge costs one token.
type allowance struct {
	tokens    float64
	updatedAt time.Time
}

// NewBudget returns a budget without tenants.
func NewBudget(cfg Settings) *Budget {
	cfg.RetriesPerRequest = cmp.Or(cfg.RetriesPerRequest, DefaultRetriesPerRequest)
	cfg.MinRetriesPerSecond = cmp.Or(cfg.MinRetriesPerSecond, DefaultMinRetriesPerSecond)
	cfg.Burst = cmp.Or(cfg.Burst, DefaultBurst)
	cfg.Attempts = cmp.Or(cfg.Attempts, DefaultAttempts)
	cfg.Backoff = cmp.Or(cfg.Backoff, DefaultBackoff)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, DefaultMaxBackoff)
	cfg.Tenants = cmp.Or(cfg.Tenants, DefaultTenants)
	return &Budget{cfg: cfg, tenants: map[fleet.TenantID]*allowance{}}
}

// SetLimits replaces MinRetriesPerSecond and Burst, for instance when the number of hosts that share an allowance changes.
func (b *Budget) SetLimits(minRetriesPerSecond, burst float64) {
	b.cfg.MinRetriesPerSecond, b.cfg.Burst = minRetriesPerSecond, burst
}

// AddRequest adds RetriesPerRequest to a tenant's allowance for a new request.
func (b *Budget) AddRequest(now time.Time, id fleet.TenantID) {
	a := b.allowance(now, id)
	a.tokens = min(b.cfg.Burst, a.tokens+b.cfg.RetriesPerRequest)
}

// Spend charges one retry or hedge to a tenant's allowance and reports whether the allowance was sufficient.
func (b *Budget) Spend(now time.Time, id fleet.TenantID) bool {
	a := b.allowance(now, id)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Retry decides on another attempt after the given number of attempts have failed. It returns the backoff before it, or false if
// the request is to be refused. left is the time until the deadline; no attempt is made that could start only after it.
func (b *Budget) Retry(now time.Time, id fleet.TenantID, attempts int, left time.Duration) (time.Duration, bool) {
	if attempts >= b.cfg.Attempts {
		return 0, false
	}
	wait := b.Backoff(attempts)
	if wait >= left || !b.Spend(now, id) {
		return 0, false
	}
	return wait, true
}

// Backoff returns a random backoff after a number of failed attempts, uniform between zero and a bound that doubles with each
// attempt.
func (b *Budget) Backoff(attempts int) time.Duration {
	bound := b.cfg.MaxBackoff
	if shift := max(attempts-1, 0); shift < 16 {
		bound = min(bound, b.cfg.Backoff<<shift)
	}
	return time.Duration(b.cfg.Rand.Int64N(int64(bound) + 1))
}

func (b *Budget) allowance(now time.Time, id fleet.TenantID) *allowance {
	a := b.tenants[id]
	if a == nil {
		if len(b.tenants) >= b.cfg.Tenants {
			b.dropOldest()
		}
		a = &allowance{tokens: cmp.Or(b.cfg.Initial, b.cfg.MinRetriesPerSecond), updatedAt: now}
		b.tenants[id] = a
	}
	if d := now.Sub(a.updatedAt); d > 0 {
		a.tokens = min(b.cfg.Burst, a.tokens+b.cfg.MinRetriesPerSecond*d.Seconds())
		a.updatedAt = now
	}
	return a
}

func (b *Budget) dropOldest() {
	var oldest fleet.TenantID
	first := true
	for id, a := range b.tenants {
		o := b.tenants[oldest]
		if first || a.updatedAt.Before(o.updatedAt) || a.updatedAt.Equal(o.updatedAt) && id < oldest {
			oldest, first = id, false
		}
	}
	delete(b.tenants, oldest)
}
