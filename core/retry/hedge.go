package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanway/core/fleet"
)

const (
	// hedgeQuantile is the percentile of first-token times after which a request is hedged.
	hedgeQuantile = 95
	// hedgeOutcomes is the number of first-token times from which the percentile is used.
	hedgeOutcomes = 40
	// hedgeFloor keeps fast models from hedging within the noise of the network.
	hedgeFloor = 20 * time.Millisecond
	// hedgeDefault is used while a model has too few outcomes.
	hedgeDefault = time.Second
	// hedgeWindow is the number of outcomes after which a new histogram takes over.
	hedgeWindow = 500
	// maxHedgeModels bounds the models with histograms; all are relearnt when it is reached.
	maxHedgeModels = 1024
	// ratioUnit is the ratio of 1 between a first-token time and its expectation; ratios up to ratioMost are told apart.
	ratioUnit = 1000
	ratioMost = 1000 * ratioUnit
)

// Hedges learns how much longer than expected first tokens take on each model, and decides when a second attempt starts.
// Ratios are learnt and not times, since otherwise the longest prompts would always be hedged. The zero value is ready. It is
// not safe for concurrent use.
type Hedges struct {
	models map[fleet.ModelID]*firstTokens
}

// firstTokens is the histogram that fills and the quantile learnt last.
type firstTokens struct {
	filling *hdrhistogram.Histogram
	ratio   float64
}

// Observe takes the time from dispatch to a first token and what was expected of it.
func (h *Hedges) Observe(m fleet.ModelID, first, expected time.Duration) {
	if expected <= 0 || first < 0 {
		return
	}
	f := h.models[m]
	if f == nil {
		if h.models == nil || len(h.models) >= maxHedgeModels {
			h.models = map[fleet.ModelID]*firstTokens{}
		}
		f = &firstTokens{filling: hdrhistogram.New(1, ratioMost, 2)}
		h.models[m] = f
	}
	// The value is within the range of the histogram.
	_ = f.filling.RecordValue(int64(min(max(float64(first)/float64(expected)*ratioUnit, 1), ratioMost)))
	n := f.filling.TotalCount()
	if n >= hedgeWindow/2 || f.ratio == 0 && n >= hedgeOutcomes {
		f.ratio = float64(f.filling.ValueAtQuantile(hedgeQuantile)) / ratioUnit
	}
	if n >= hedgeWindow {
		f.filling.Reset()
	}
}

// After returns how long after its dispatch a request without a first token is hedged, and false when it must not be,
// since running it twice could do its work twice.
func (h *Hedges) After(m fleet.ModelID, expected time.Duration, idempotent bool) (time.Duration, bool) {
	if !idempotent {
		return 0, false
	}
	f := h.models[m]
	if f == nil || f.ratio == 0 || expected <= 0 {
		return hedgeDefault, true
	}
	return max(hedgeFloor, time.Duration(f.ratio*float64(expected))), true
}
