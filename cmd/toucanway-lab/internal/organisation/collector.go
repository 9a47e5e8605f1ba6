package organisation

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/core/fleet"
)

// sample is one request as its caller saw it; at is its intended time in the run.
type sample struct {
	label    string
	at       time.Duration
	answered bool
	first    time.Duration
}

// collector keeps a sample of every request. It is safe for concurrent use.
type collector struct {
	begin time.Time

	mu      sync.Mutex
	samples []sample
	// models are the models of first requests.
	models map[history.Key]fleet.ModelID
}

// burstLabel is the label of first requests for sleeping models.
const burstLabel = "burst"

// sender passes requests on to a caller.
type sender struct {
	to        load.Sender
	collector *collector
}

// DoScheduled carries out a request and keeps its outcome.
func (s *sender) DoScheduled(ctx context.Context, r *caller.Request, intended time.Time) caller.Outcome {
	o := s.to.DoScheduled(ctx, r, intended)
	c := s.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.HasPrefix(r.Label, burstLabel) {
		c.models[r.Key] = r.Target.Model
	}
	c.samples = append(c.samples, sample{
		label: r.Label, at: intended.Sub(c.begin), answered: o.Answered && o.Wrong == "", first: o.FirstToken,
	})
	return o
}

// quantile returns a quantile of the first tokens of answered requests in milliseconds, zero without any.
func quantile(samples []sample, q float64) float64 {
	var times []time.Duration
	for _, s := range samples {
		if s.answered {
			times = append(times, s.first)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[min(len(times)-1, int(q*float64(len(times))))]) / float64(time.Millisecond)
}

// answeredShare returns the part of the requests that were answered rightly.
func answeredShare(samples []sample) float64 {
	n := 0
	for _, s := range samples {
		if s.answered {
			n++
		}
	}
	return float64(n) / float64(max(len(samples), 1))
}

// filter returns the samples that a condition holds for.
func filter(samples []sample, ok func(sample) bool) []sample {
	var out []sample
	for _, s := range samples {
		if ok(s) {
			out = append(out, s)
		}
	}
	return out
}

// peaks returns the busiest part of the spans of the run, as a condition on samples.
func peaks(samples []sample) func(sample) bool {
	const span, part = 3 * time.Second, 5
	counts := map[time.Duration]int{}
	for _, s := range samples {
		counts[s.at/span]++
	}
	var spans []time.Duration
	for at := range counts {
		spans = append(spans, at)
	}
	slices.SortFunc(spans, func(a, b time.Duration) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return int(a - b)
	})
	busiest := spans[:(len(spans)+part-1)/part]
	return func(s sample) bool { return slices.Contains(busiest, s.at/span) }
}
