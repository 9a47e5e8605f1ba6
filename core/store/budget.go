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
	// Rate is the number of loads that may start in any Window.
	Rate int
	// Window is the period of Rate; 0 means a second.
	Window time.Duration
	// Concurrency is the number of loads in flight at which each still runs at full speed.
	Concurrency int
	// SlowFactor is the ratio of measured to expected load time above which the store counts as slow.
	SlowFactor float64
}

// Request describes one load to start.
type Request struct {
	Model      fleet.ModelID
	Class      fleet.Class
	Deadline   time.Time
	Background bool
}

// Budget limits the rate and concurrency of loads from the weight store. It is not safe for concurrent use.
type Budget struct {
	cfg    Settings
	starts []time.Time
	active int
	// limit is the concurrency that is allowed at the store's measured speed.
	limit float64
	// limitLoweredAt is when limit was last lowered.
	limitLoweredAt time.Time
	// slowdown is the moving average of the ratio of measured to expected load time, at least 1; slowdownAt is when it was
	// last updated.
	slowdown   float64
	slowdownAt time.Time
}

// SettingsForRate returns settings for a number of loads per second, which may be below 1.
func SettingsForRate(perSecond float64, concurrency int) Settings {
	if perSecond > 0 && perSecond < 1 {
		return Settings{Rate: 1, Window: time.Duration(float64(time.Second) / perSecond), Concurrency: concurrency}
	}
	return Settings{Rate: int(perSecond), Concurrency: concurrency}
}

// New returns a budget that admits nothing in its first Window, since it does not know the loads that an earlier leader
// started just before.
func New(now time.Time, cfg Settings) *Budget {
	if cfg.Rate <= 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Window <= 0 {
		cfg.Window = time.Second
	}
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = DefaultConcurrency
	}
	if cfg.SlowFactor <= 1 {
		cfg.SlowFactor = DefaultSlowFactor
	}
	b := &Budget{cfg: cfg, limit: float64(cfg.Concurrency), slowdown: 1}
	for range cfg.Rate {
		b.starts = append(b.starts, now)
	}
	return b
}

// SetActive sets the number of loads in flight, which includes proposed loads that have no record yet.
func (b *Budget) SetActive(n int) { b.active = n }

// Active returns the number of loads in flight, including those admitted since SetActive.
func (b *Budget) Active() int { return b.active }

// Limit returns the number of loads that may be in flight at the store's measured speed.
func (b *Budget) Limit() int { return max(1, int(b.limit)) }

// slowdownHalfLife is the age at which a measured slowdown counts half. Without this decay, a store that recovered while
// nothing was loaded would still be regarded as slow, and requests would be refused because of that.
const slowdownHalfLife = 20 * time.Second

// Slowdown returns the ratio of measured to expected load time, at least 1. It decays towards 1 as the measurement ages.
func (b *Budget) Slowdown(now time.Time) float64 {
	age := max(0, now.Sub(b.slowdownAt))
	return 1 + (b.slowdown-1)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// Admit reports whether the budget allows another load, and counts it as started if so. Background loads leave one place for
// a load that a request waits for.
func (b *Budget) Admit(now time.Time, background bool) bool {
	limit := b.Limit()
	if background && limit > 1 {
		limit--
	}
	if b.active >= limit || b.recentStarts(now) >= b.cfg.Rate {
		return false
	}
	b.active++
	b.starts = append(b.starts, now)
	return true
}

// recentStarts returns the number of loads started in the window that ends now, and drops older starts.
func (b *Budget) recentStarts(now time.Time) int {
	for len(b.starts) > 0 && now.Sub(b.starts[0]) >= b.cfg.Window {
		b.starts = b.starts[1:]
	}
	return len(b.starts)
}

// Wait returns the expected time until the budget admits a load, given the number of loads queued before it and the time of
// one load at full speed.
func (b *Budget) Wait(now time.Time, queued int, load time.Duration) time.Duration {
	excess := queued + b.active - b.Limit() + 1
	var concurrencyWait time.Duration
	if excess > 0 {
		concurrencyWait = time.Duration(float64(excess) * float64(load) * b.Slowdown(now) / float64(b.Limit()))
	}
	rateWait := time.Duration(queued+b.recentStarts(now)-b.cfg.Rate+1) * b.cfg.Window / time.Duration(b.cfg.Rate)
	return max(0, concurrencyWait, rateWait)
}

// Observe records the measured and the expected time of one load from the store. A slow load halves the allowed concurrency,
// at most once per load time; loads at full speed raise it again gradually.
func (b *Budget) Observe(now time.Time, took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	const weight = 0.25
	b.slowdown = max(1, b.Slowdown(now)*(1-weight)+ratio*weight)
	b.slowdownAt = now
	if ratio <= b.cfg.SlowFactor {
		b.limit = min(float64(b.cfg.Concurrency), b.limit+1/max(1, b.limit))
		return
	}
	if now.Sub(b.limitLoweredAt) >= took {
		b.limit = max(1, b.limit/2)
		b.limitLoweredAt = now
	}
}
