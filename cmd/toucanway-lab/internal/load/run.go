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

// DefaultMaxInFlight bounds the requests under way; those planned beyond are counted as not sent.
const DefaultMaxInFlight = 20000

// Planned is a request with its intended send time, counted from the beginning of the run.
type Planned struct {
	At time.Duration
	// Caller numbers the sender; requests of one caller share its connections and its advice.
	Caller  int
	Request *caller.Request
}

// Sender is what carries out a request; *caller.Client is one.
type Sender interface {
	DoFrom(ctx context.Context, r *caller.Request, intended time.Time) caller.Outcome
}

// Settings describe a run.
type Settings struct {
	// Callers carry out the requests; a request goes to the one at its number, modulo their count.
	Callers []Sender
	// MaxInFlight zero means DefaultMaxInFlight.
	MaxInFlight int
}

// Run sends the planned requests, which are ordered by time, and returns when all have ended. When the context ends, it
// sends no more and ends those under way.
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
			results.NotSent(p.Request.Label)
			continue
		}
		inFlight.Add(1)
		g.Go(func() error {
			defer inFlight.Add(-1)
			o := s.Callers[p.Caller%len(s.Callers)].DoFrom(ctx, p.Request, intended)
			results.Add(p.Request.Label, &o)
			return nil
		})
	}
	_ = g.Wait()
	results.Took(time.Since(begin))
	return results
}
