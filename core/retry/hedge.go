package retry

import (
	"cmp"
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
	// hedgeHalve is the number of outcomes after which a new histogram takes over.
	hedgeHalve = 500
	// maxHedgeModels bounds the models with histograms; all are relearnt when it is reached.
	maxHedgeModels = 1024
	// hedgeMost is the longest first-token time told apart.
	hedgeMost = time.Minute
)

// Hedges learns the time to the first token of each model and decides when a second attempt starts. The zero value is
// ready. It is not safe for concurrent use.
type Hedges struct {
	models map[fleet.ModelID]*firstTokens
}

// firstTokens is the histogram that fills and the quantile of the one before.
type firstTokens struct {
	filling *hdrhistogram.Histogram
	after   time.Duration
}

// Observe takes the time to a first token.
func (h *Hedges) Observe(m fleet.ModelID, first time.Duration) {
	f := h.models[m]
	if f == nil {
		if h.models == nil || len(h.models) >= maxHedgeModels {
			h.models = map[fleet.ModelID]*firstTokens{}
		}
		f = &firstTokens{filling: hdrhistogram.New(1, int64(hedgeMost/time.Microsecond), 2)}
		h.models[m] = f
	}
	// Times above the range count as its end.
	_ = f.filling.RecordValue(int64(min(max(first, time.Microsecond), hedgeMost) / time.Microsecond))
	switch n := f.filling.TotalCount(); {
	case n >= hedgeHalve:
		f.after = f.quantile()
		f.filling.Reset()
	case f.after == 0 && n >= hedgeOutcomes || n >= hedgeHalve/2:
		f.after = f.quantile()
	}
}

func (f *firstTokens) quantile() time.Duration {
	return max(hedgeFloor, time.Duration(f.filling.ValueAtQuantile(hedgeQuantile))*time.Microsecond)
}

// After returns how long after its dispatch a request without a first token is hedged, and false when it must not be,
// since running it twice could do its work twice.
func (h *Hedges) After(m fleet.ModelID, idempotent bool) (time.Duration, bool) {
	if !idempotent {
		return 0, false
	}
	if f := h.models[m]; f != nil {
		return cmp.Or(f.after, hedgeDefault), true
	}
	return hedgeDefault, true
}
