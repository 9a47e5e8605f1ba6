package store

import (
	"math"
	"time"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultRate        = 3
	DefaultConcurrency = 4
	// DefaultSlowFactor is the ratio of measured to expected load time above which the store counts as slow.
	DefaultSlowFactor = 1.5
)

// Settings configures a Budget; zero fields mean the defaults.
type Settings struct {
	// Rate is the number of loads that may start in any second.
	Rate int
	// Concurrency is the number of loads under way at which each still runs at full speed.
	Concurrency int
	SlowFactor  float64
}

// Request asks to start one load.
type Request struct {
	Model      fleet.ModelID
	Class      fleet.Class
	Deadline   time.Time
	Background bool
}

// Budget admits loads. It is not safe for concurrent use.
type Budget struct {
	cfg    Settings
	starts []time.Time
	active int
	// limit is the concurrency allowed at the store's measured speed.
	limit float64
	// slowSince is when the limit was last lowered.
	slowSince time.Time
	slow      float64
	// observed is when slow was last measured.
	observed time.Time
}

// rateWindow is the span in which at most Rate loads start.
const rateWindow = time.Second

// New returns a budget that admits nothing in its first second, since loads that an earlier leader started just before
// are unknown to it.
func New(now time.Time, cfg Settings) *Budget {
	if cfg.Rate <= 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = DefaultConcurrency
	}
	if cfg.SlowFactor <= 1 {
		cfg.SlowFactor = DefaultSlowFactor
	}
	b := &Budget{cfg: cfg, limit: float64(cfg.Concurrency), slow: 1}
	for range cfg.Rate {
		b.starts = append(b.starts, now)
	}
	return b
}

// SetActive states how many loads are under way, from the control state and from proposals not yet on record.
func (b *Budget) SetActive(n int) { b.active = n }

// Active returns the loads under way, those admitted since SetActive included.
func (b *Budget) Active() int { return b.active }

// Limit returns the number of loads that may be under way at the store's measured speed.
func (b *Budget) Limit() int { return max(1, int(b.limit)) }

// slowHalfLife is the age at which a measured slowdown counts half. Without it a store that recovered while nothing was
// loaded would go on to be taken for slow, and requests be refused for it.
const slowHalfLife = 20 * time.Second

// Slowdown returns the measured load time relative to the expected one, at least 1, less as the measurement ages.
func (b *Budget) Slowdown(now time.Time) float64 {
	age := max(0, now.Sub(b.observed))
	return 1 + (b.slow-1)*math.Exp2(-float64(age)/float64(slowHalfLife))
}

// Admit starts one load if the budget allows. Background loads leave one place free for a waiting request.
func (b *Budget) Admit(now time.Time, background bool) bool {
	limit := b.Limit()
	if background && limit > 1 {
		limit--
	}
	if b.active >= limit || b.recent(now) >= b.cfg.Rate {
		return false
	}
	b.active++
	b.starts = append(b.starts, now)
	return true
}

// recent counts the starts in the window that ends now and forgets older ones.
func (b *Budget) recent(now time.Time) int {
	for len(b.starts) > 0 && now.Sub(b.starts[0]) >= rateWindow {
		b.starts = b.starts[1:]
	}
	return len(b.starts)
}

// Wait returns how long a load waits until the budget admits it, given the loads queued before it and the mean time of
// one load.
func (b *Budget) Wait(now time.Time, ahead int, load time.Duration) time.Duration {
	queued := ahead + b.active - b.Limit() + 1
	var busy time.Duration
	if queued > 0 {
		busy = time.Duration(float64(queued) * float64(load) * b.Slowdown(now) / float64(b.Limit()))
	}
	rate := time.Duration(ahead+b.recent(now)-b.cfg.Rate+1) * rateWindow / time.Duration(b.cfg.Rate)
	return max(0, busy, rate)
}

// Observe takes the measured and the expected time of one load from the store. A slow load halves the concurrency at
// most once per load time; loads at full speed raise it again step by step.
func (b *Budget) Observe(now time.Time, took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	const weight = 0.25
	b.slow = max(1, b.Slowdown(now)*(1-weight)+ratio*weight)
	b.observed = now
	if ratio <= b.cfg.SlowFactor {
		b.limit = min(float64(b.cfg.Concurrency), b.limit+1/max(1, b.limit))
		return
	}
	if now.Sub(b.slowSince) >= took {
		b.limit = max(1, b.limit/2)
		b.slowSince = now
	}
}
