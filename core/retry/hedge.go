package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanway/core/fleet"
)

const (
	// hedgePercentile is the percentile of the times to first token after which a request is hedged.
	hedgePercentile = 95
	// minHedgeSamples is the number of observations that a model needs before its percentile is used.
	minHedgeSamples = 40
	// minHedgeDelay is the shortest hedge delay, so that requests to fast models are not hedged because of network jitter.
	minHedgeDelay = 20 * time.Millisecond
	// defaultHedgeDelay is the hedge delay of a model with too few observations.
	defaultHedgeDelay = time.Second
	// hedgeWindow is the number of observations after which the histogram is reset.
	hedgeWindow = 500
	// maxHedgeModels bounds the models with histograms; all of them are dropped when it is reached.
	maxHedgeModels = 1024
	// ratioUnit is the histogram value for a time to first token equal to the expected one; maxRatio bounds the values.
	ratioUnit = 1000
	maxRatio  = 1000 * ratioUnit
)

// Hedges records for each model the ratio of the observed to the expected time to first token, and decides when a hedge starts.
// It uses ratios instead of times, since otherwise the longest prompts would always be hedged. The zero value is ready for use.
// It is not safe for concurrent use.
type Hedges struct {
	models map[fleet.ModelID]*firstTokenRatios
}

// firstTokenRatios is the histogram of the ratios of a model and the latest percentile taken from it.
type firstTokenRatios struct {
	histogram  *hdrhistogram.Histogram
	percentile float64
}

// Observe records the observed and the expected time from dispatch to the first token.
func (h *Hedges) Observe(m fleet.ModelID, observed, expected time.Duration) {
	if expected <= 0 || observed < 0 {
		return
	}
	f := h.models[m]
	if f == nil {
		if h.models == nil || len(h.models) >= maxHedgeModels {
			h.models = map[fleet.ModelID]*firstTokenRatios{}
		}
		f = &firstTokenRatios{histogram: hdrhistogram.New(1, maxRatio, 2)}
		h.models[m] = f
	}
	// The value is within the range of the histogram.
	_ = f.histogram.RecordValue(int64(min(max(float64(observed)/float64(expected)*ratioUnit, 1), maxRatio)))
	n := f.histogram.TotalCount()
	if n >= hedgeWindow/2 || f.percentile == 0 && n >= minHedgeSamples {
		f.percentile = float64(f.histogram.ValueAtQuantile(hedgePercentile)) / ratioUnit
	}
	if n >= hedgeWindow {
		f.histogram.Reset()
	}
}

// Delay returns how long after its dispatch a request without a first token is hedged. It returns false for a non-idempotent
// request, which must not be hedged.
func (h *Hedges) Delay(m fleet.ModelID, expected time.Duration, idempotent bool) (time.Duration, bool) {
	if !idempotent {
		return 0, false
	}
	f := h.models[m]
	if f == nil || f.percentile == 0 || expected <= 0 {
		return defaultHedgeDelay, true
	}
	return max(minHedgeDelay, time.Duration(f.percentile*float64(expected))), true
}
