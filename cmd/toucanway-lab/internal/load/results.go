package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanway/cmd/toucanway-lab/internal/caller"
)

const (
	lowestLatency  = time.Microsecond
	highestLatency = 10 * time.Minute
	// significantDigits keeps each recorded value within 0.1% of the measured one.
	significantDigits = 3
)

// AllLabel is the label of the summary of all requests.
const AllLabel = "all"

// Results collect the outcomes of a run by label. They are safe for concurrent use.
type Results struct {
	mu       sync.Mutex
	series   map[string]*series
	duration time.Duration
}

type series struct {
	counts                      Counts
	firstToken, total, tokenGap *hdrhistogram.Histogram
}

// Counts are the numbers of requests by outcome. Each request is counted once, except in Attempts, Tokens and Cached, which
// are sums.
type Counts struct {
	Answered int64            `json:"answered"`
	Wrong    int64            `json:"wrong"`
	Refused  map[string]int64 `json:"refused,omitempty"`
	Lost     int64            `json:"lost"`
	NotSent  int64            `json:"not-sent"`
	Attempts int64            `json:"attempts"`
	Tokens   int64            `json:"tokens"`
	Cached   int64            `json:"cached-tokens"`
}

// Sum returns the number of requests.
func (c *Counts) Sum() int64 {
	n := c.Answered + c.Wrong + c.Lost + c.NotSent
	for _, v := range c.Refused {
		n += v
	}
	return n
}

// Percentiles summarise a distribution of times; all but Count are in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Summary is the result of one label. Latencies are those of correctly answered requests.
type Summary struct {
	Label      string      `json:"label"`
	Counts     Counts      `json:"counts"`
	FirstToken Percentiles `json:"first-token-ms"`
	Total      Percentiles `json:"total-ms"`
	TokenGap   Percentiles `json:"token-gap-ms"`
	// Rate is the number of correctly answered requests per second.
	Rate float64 `json:"rate"`
}

// NewResults returns empty results.
func NewResults() *Results { return &Results{series: map[string]*series{}} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
}

// seriesOf returns the series of a label and creates it if needed. It is called with r.mu locked.
func (r *Results) seriesOf(label string) *series {
	s, ok := r.series[label]
	if !ok {
		s = &series{counts: Counts{Refused: map[string]int64{}}, firstToken: newHistogram(), total: newHistogram(), tokenGap: newHistogram()}
		r.series[label] = s
	}
	return s
}

// AddNotSent counts a request that was planned but not sent.
func (r *Results) AddNotSent(label string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range []string{label, AllLabel} {
		r.seriesOf(l).counts.NotSent++
	}
}

// Add counts the outcome of a request.
func (r *Results) Add(label string, o *caller.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range []string{label, AllLabel} {
		r.seriesOf(l).add(o)
	}
}

// SetDuration sets the duration of the run, from which rates are calculated.
func (r *Results) SetDuration(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duration = d
}

func (s *series) add(o *caller.Outcome) {
	c := &s.counts
	c.Attempts += int64(o.Attempts)
	switch {
	case o.Answered && o.WrongReason == "":
		c.Answered++
		c.Tokens += int64(o.Tokens)
		c.Cached += int64(o.CachedTokens)
		record(s.firstToken, o.FirstToken)
		record(s.total, o.Total)
		for _, g := range o.Gaps {
			record(s.tokenGap, g)
		}
	case o.Answered:
		c.Wrong++
	case o.Refusal != nil:
		c.Refused[string(o.Refusal.Code)]++
	default:
		c.Lost++
	}
}

// record records a time in a histogram; times outside of its range are clamped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	d = min(max(d, lowestLatency), highestLatency)
	_ = h.RecordValue(d.Microseconds())
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{
		Count: h.TotalCount(), Mean: h.Mean() / 1000,
		P50: ms(50), P90: ms(90), P95: ms(95), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000,
	}
}

// Summaries returns the result of each label in alphabetical order, followed by the result of all requests.
func (r *Results) Summaries() []Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	labels := slices.DeleteFunc(slices.Sorted(maps.Keys(r.series)), func(l string) bool { return l == AllLabel })
	if _, ok := r.series[AllLabel]; ok {
		labels = append(labels, AllLabel)
	}
	var out []Summary
	for _, l := range labels {
		s := r.series[l]
		sum := Summary{
			Label: l, Counts: s.counts, FirstToken: percentiles(s.firstToken), Total: percentiles(s.total), TokenGap: percentiles(s.tokenGap),
		}
		sum.Counts.Refused = maps.Clone(s.counts.Refused)
		if r.duration > 0 {
			sum.Rate = float64(s.counts.Answered) / r.duration.Seconds()
		}
		out = append(out, sum)
	}
	return out
}
