package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// runConcurrently starts n transfers at once and returns when the last one ended.
func runConcurrently(t *testing.T, n int, load func() error) time.Duration {
	t.Helper()
	start := time.Now()
	var g errgroup.Group
	for range n {
		g.Go(load)
	}
	require.NoError(t, g.Wait())
	return time.Since(start)
}

// Guards against loads beyond the full-speed limit that are not slowed down proportionally, and against starts that exceed the
// rate.
func TestLoadDurations(t *testing.T) {
	cases := map[string]struct {
		settings Settings
		n        int
		adapter  bool
		want     time.Duration
	}{
		"models at the full-speed limit":               {settings: Settings{MaxFullSpeedLoads: 4}, n: 4, want: time.Second},
		"models at twice the full-speed limit":         {settings: Settings{MaxFullSpeedLoads: 4}, n: 8, want: 2 * time.Second},
		"no limits":                                    {n: 100, want: time.Second},
		"starts limited by the rate":                   {settings: Settings{Rate: 4}, n: 9, want: 3 * time.Second},
		"adapters at the full-speed limit":             {settings: Settings{MaxFullSpeedAdapterLoads: 30, Rate: 1}, n: 30, adapter: true, want: time.Second},
		"adapters at three times the full-speed limit": {settings: Settings{MaxFullSpeedAdapterLoads: 30}, n: 90, adapter: true, want: 3 * time.Second},
		"starts within the rate share the bandwidth":   {settings: Settings{Rate: 10, MaxFullSpeedLoads: 1}, n: 2, want: 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(c.settings)
				load := s.Load
				if c.adapter {
					load = s.LoadAdapter
				}
				got := runConcurrently(t, c.n, func() error { return load(t.Context(), time.Second) })
				require.InDelta(t, c.want.Seconds(), got.Seconds(), 1e-6)
				m, a := s.Loading()
				require.Zero(t, m+a)
			})
		})
	}
}

// Guards against a slowdown that does not apply to transfers in progress, and against cancelled loads that keep their share of
// the bandwidth.
func TestSlowdownAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{MaxFullSpeedLoads: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var g errgroup.Group
		start := time.Now()
		g.Go(func() error {
			require.ErrorIs(t, s.Load(ctx, time.Minute), context.DeadlineExceeded)
			return nil
		})
		g.Go(func() error { return s.Load(t.Context(), time.Second) })
		time.Sleep(1100 * time.Millisecond)
		s.SetSlowdown(10)
		require.NoError(t, g.Wait())
		// 0.5 s of work takes 1 s in two shares, 0.1 s of work runs alone at full speed, and 0.4 s takes ten times as long.
		require.InDelta(t, 5.1, time.Since(start).Seconds(), 1e-6)
	})
}
