package load

import (
	"context"
	"iter"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/core/pause"
)

// DefaultMaxInFlight bounds the requests in flight; further planned requests are counted as not sent.
const DefaultMaxInFlight = 20000

// Planned is a request with its intended send time, counted from the beginning of the run.
type Planned struct {
	At time.Duration
	// Caller is the number of the sender; requests of one caller share its connections and cached advice.
	Caller  int
	Request *caller.Request
}

// Sender sends a request and returns its outcome; *caller.Client is one.
type Sender interface {
	DoScheduled(ctx context.Context, r *caller.Request, intended time.Time) caller.Outcome
}

// Settings describe a run.
type Settings struct {
	// Callers send the requests; a request goes to the one at index Planned.Caller modulo their number.
	Callers []Sender
	// MaxInFlight bounds the requests in flight; zero means DefaultMaxInFlight.
	MaxInFlight int
}

// Run sends the planned requests, which must be ordered by time, and returns when all have ended. When the context ends, it
// sends no more; the requests in flight end with the same context.
func Run(ctx context.Context, s Settings, plan iter.Seq[Planned]) *Results {
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = DefaultMaxInFlight
	}
	results := NewResults()
	begin := time.Now()
	var inFlight atomic.Int64
	var g errgroup.Group
	for p := range plan {
		intended := begin.Add(p.At)
		if pause.Until(ctx, intended) != nil {
			break
		}
		if inFlight.Load() >= int64(s.MaxInFlight) {
			results.AddNotSent(p.Request.Label)
			continue
		}
		inFlight.Add(1)
		g.Go(func() error {
			defer inFlight.Add(-1)
			o := s.Callers[p.Caller%len(s.Callers)].DoScheduled(ctx, p.Request, intended)
			results.Add(p.Request.Label, &o)
			return nil
		})
	}
	_ = g.Wait()
	results.SetDuration(time.Since(begin))
	return results
}
