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

// sample is the outcome of one request for its caller; at is its intended send time, counted from the start of the run, and
// firstToken its time to first token.
type sample struct {
	label      string
	at         time.Duration
	answered   bool
	firstToken time.Duration
}

// collector records a sample of every request. It is safe for concurrent use.
type collector struct {
	startedAt time.Time

	mu      sync.Mutex
	samples []sample
	// models holds the models of burst requests.
	models map[history.Key]fleet.ModelID
}

// burstLabel is the prefix of the labels of requests for models that are not loaded.
const burstLabel = "burst"

// sender passes requests to a caller and records their outcomes.
type sender struct {
	caller    load.Sender
	collector *collector
}

// DoScheduled sends a request and records its outcome.
func (s *sender) DoScheduled(ctx context.Context, r *caller.Request, intended time.Time) caller.Outcome {
	o := s.caller.DoScheduled(ctx, r, intended)
	c := s.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.HasPrefix(r.Label, burstLabel) {
		c.models[r.Key] = r.Target.Model
	}
	c.samples = append(c.samples, sample{
		label: r.Label, at: intended.Sub(c.startedAt), answered: o.Answered && o.WrongReason == "", firstToken: o.FirstToken,
	})
	return o
}

// quantile returns a quantile of the times to first token of answered requests in milliseconds, zero if there are none.
func quantile(samples []sample, q float64) float64 {
	var times []time.Duration
	for _, s := range samples {
		if s.answered {
			times = append(times, s.firstToken)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[min(len(times)-1, int(q*float64(len(times))))]) / float64(time.Millisecond)
}

// answeredShare returns the share of the requests that were answered correctly.
func answeredShare(samples []sample) float64 {
	n := 0
	for _, s := range samples {
		if s.answered {
			n++
		}
	}
	return float64(n) / float64(max(len(samples), 1))
}

// filter returns the samples for which a condition holds.
func filter(samples []sample, ok func(sample) bool) []sample {
	var out []sample
	for _, s := range samples {
		if ok(s) {
			out = append(out, s)
		}
	}
	return out
}

// inPeak returns a condition that selects the samples in the busiest fifth of the 3 s spans of the run.
func inPeak(samples []sample) func(sample) bool {
	const span, divisor = 3 * time.Second, 5
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
	busiest := spans[:(len(spans)+divisor-1)/divisor]
	return func(s sample) bool { return slices.Contains(busiest, s.at/span) }
}
