package store

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more starts in any second than the rate, and more loads in flight than the limit.
func TestAdmitKeepsBudget(t *testing.T) {
	const seed = 1
	t.Log("seed", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(1_000_000, 0)
	b := New(now, Settings{Rate: 3, Concurrency: 4})
	starts := []time.Time{now, now, now}
	active := 0
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(700)) * time.Millisecond)
		active -= min(active, rng.IntN(3))
		b.SetActive(active)
		b.Observe(now, time.Duration(5+rng.IntN(10))*time.Second, 10*time.Second)
		if b.Admit(now, rng.IntN(2) == 0) {
			active++
			starts = append(starts, now)
		}
		for len(starts) > 0 && now.Sub(starts[0]) >= time.Second {
			starts = starts[1:]
		}
		require.LessOrEqual(t, len(starts), 3)
		require.LessOrEqual(t, active, 4)
	}
}

// Guards against full concurrency at a slow store, and against low concurrency after the store has recovered.
func TestSlowStoreLowersConcurrency(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := New(now, Settings{})
	for range 4 {
		now = now.Add(time.Minute)
		b.Observe(now, 30*time.Second, 10*time.Second)
	}
	require.Equal(t, 1, b.Limit())
	require.Greater(t, b.Slowdown(now), 1.5)
	require.Less(t, b.Slowdown(now.Add(2*time.Minute)), 1.05, "the slowdown does not decay while nothing is loaded")
	for range 20 {
		now = now.Add(time.Minute)
		b.Observe(now, 10*time.Second, 10*time.Second)
	}
	require.Equal(t, DefaultConcurrency, b.Limit())
}

// Guards against background loads that use the last concurrent load, which is kept free for a waiting request.
func TestBackgroundLeavesOnePlace(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := New(now, Settings{Rate: 10, Concurrency: 2})
	now = now.Add(time.Second)
	require.True(t, b.Admit(now, true))
	require.False(t, b.Admit(now, true))
	require.True(t, b.Admit(now, false))
	require.Positive(t, b.Wait(now, 0, 10*time.Second))
}

// Guards against owners whose shares of adapter loads together exceed the store's limit.
func TestAdapterSharesStayWithinLimit(t *testing.T) {
	for name, c := range map[string]struct{ owners, perOwner int }{"today": {6, 3}, "one": {1, 18}, "target": {1300, 5}} {
		t.Run(name, func(t *testing.T) {
			s := AdapterShareOf(c.perOwner, c.owners*c.perOwner)
			load := 1.0
			if s.MinInterval > 0 {
				load = float64(AdapterLoadTime) / float64(s.MinInterval)
			}
			require.LessOrEqual(t, float64(c.owners*s.InFlight)*load, MaxAdapterLoads+0.01)
			require.Positive(t, s.InFlight)
		})
	}
}

// Guards against a rate below one load per second that is rounded to none and then replaced by the default, six times as many.
func TestRateBelowOnePerSecond(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(now, SettingsForRate(0.5, 4))
	starts := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		b.SetActive(0)
		if b.Admit(now, false) {
			starts++
		}
	}
	require.InDelta(t, 30, starts, 1)
	require.Equal(t, 5, SettingsForRate(5.5, 4).Rate)
}
