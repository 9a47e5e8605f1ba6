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
	// Each slowdown hits some engines at once for a short time, as other load on their machines does.
	slowEvery  = 8 * time.Second
	slowFor    = 3 * time.Second
	slowFactor = 5
	slowPart   = 6
	// idleInterval is the time between two looks at what the engines hold.
	idleInterval = 250 * time.Millisecond
)

// window is a span of the run.
type window struct{ from, to time.Duration }

// slowdowns are the planned times at which engines are slow, the same for all variants of a seed.
func slowdowns(total time.Duration) []window {
	var out []window
	for at := slowEvery / 2; at+slowFor <= total; at += slowEvery {
		out = append(out, window{at, at + slowFor})
	}
	return out
}

// within returns a condition on samples: sent while some engines were slow.
func within(windows []window) func(sample) bool {
	return func(s sample) bool {
		return slices.ContainsFunc(windows, func(w window) bool { return s.at >= w.from && s.at < w.to })
	}
}

// slow slows engines down in the planned windows until the context ends.
func slow(ctx context.Context, l *live.Live, begin time.Time, windows []window, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	var ids []fleet.BackendID
	for _, e := range l.Settings.Engines {
		ids = append(ids, e.ID)
	}
	for _, w := range windows {
		var hit []fleet.BackendID
		for _, i := range random.Perm(len(ids))[:len(ids)/slowPart] {
			hit = append(hit, ids[i])
		}
		if pause.Until(ctx, begin.Add(w.from)) != nil {
			return
		}
		for _, id := range hit {
			l.Engines[id].Faults.Set(backend.Faults{Slow: slowFactor})
		}
		err := pause.Until(ctx, begin.Add(w.to))
		for _, id := range hit {
			l.Engines[id].Faults.Set(backend.Faults{})
		}
		if err != nil {
			return
		}
	}
}

// idleHours returns the accelerator hours that engines hold loaded models without running a request, each engine counted
// by the part of its memory that the models take, until the context ends.
func idleHours(ctx context.Context, l *live.Live) float64 {
	var hours float64
	last := time.Now()
	for pause.For(ctx, idleInterval) == nil {
		now := time.Now()
		for _, e := range l.Engines {
			inv := e.Inventory()
			if len(inv.Running) > 0 || inv.Memory == 0 {
				continue
			}
			var held fleet.Bytes
			for _, m := range inv.Models {
				held += m.Memory
			}
			hours += now.Sub(last).Hours() * float64(held) / float64(inv.Memory)
		}
		last = now
	}
	return hours
}
