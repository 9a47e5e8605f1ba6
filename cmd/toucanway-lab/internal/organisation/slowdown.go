package organisation

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/live"
	"toucanway/core/fleet"
	"toucanway/core/pause"
)

const (
	// Every slowInterval one of slowOneIn engines is slowed down by slowFactor for slowDuration, as other load on its machine
	// would slow it down.
	slowInterval = 8 * time.Second
	slowDuration = 3 * time.Second
	slowFactor   = 5
	slowOneIn    = 6
	// idleInterval is the interval at which the loaded models of the engines are sampled.
	idleInterval = 250 * time.Millisecond
)

// window is an interval of the run, relative to its start.
type window struct{ from, to time.Duration }

// slowdownWindows returns the windows in which engines are slowed down, the same for all variants.
func slowdownWindows(total time.Duration) []window {
	var out []window
	for at := slowInterval / 2; at+slowDuration <= total; at += slowInterval {
		out = append(out, window{at, at + slowDuration})
	}
	return out
}

// inWindows returns a condition that selects the samples whose intended time is in one of the windows.
func inWindows(windows []window) func(sample) bool {
	return func(s sample) bool {
		return slices.ContainsFunc(windows, func(w window) bool { return s.at >= w.from && s.at < w.to })
	}
}

// slowEnginesDown slows down randomly chosen engines in each window until the context ends.
func slowEnginesDown(ctx context.Context, l *live.Live, begin time.Time, windows []window, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	var ids []fleet.BackendID
	for _, e := range l.Settings.Engines {
		ids = append(ids, e.ID)
	}
	for _, w := range windows {
		var slowed []fleet.BackendID
		for _, i := range random.Perm(len(ids))[:len(ids)/slowOneIn] {
			slowed = append(slowed, ids[i])
		}
		if pause.Until(ctx, begin.Add(w.from)) != nil {
			return
		}
		for _, id := range slowed {
			l.Engines[id].Faults.Set(backend.Faults{Slow: slowFactor})
		}
		err := pause.Until(ctx, begin.Add(w.to))
		for _, id := range slowed {
			l.Engines[id].Faults.Set(backend.Faults{})
		}
		if err != nil {
			return
		}
	}
}

// sampleIdleHours samples the engines until the context ends and returns the accelerator hours in which they had models loaded
// without running a request. Each engine counts by the share of its memory that the models use.
func sampleIdleHours(ctx context.Context, l *live.Live) float64 {
	var hours float64
	last := time.Now()
	for pause.For(ctx, idleInterval) == nil {
		now := time.Now()
		for _, e := range l.Engines {
			inv := e.Inventory()
			if len(inv.Running) > 0 || inv.Memory == 0 {
				continue
			}
			var loaded fleet.Bytes
			for _, m := range inv.Models {
				loaded += m.Memory
			}
			hours += now.Sub(last).Hours() * float64(loaded) / float64(inv.Memory)
		}
		last = now
	}
	return hours
}
