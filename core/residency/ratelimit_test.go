package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against requests that are refused for the rate limits of all engines with their model while other engines take them, and
// against replicas that are loaded where they do not help.
func TestModelOfEnginesWithRateLimitIsLoadedElsewhere(t *testing.T) {
	tests := map[string]struct {
		// limits are the rate limits of the engines; 0 means none. The first one has the model.
		limits []float64
		want   int
	}{
		"another engine":                  {[]float64{1, 0}, 2},
		"all engines limited":             {[]float64{1, 1}, 1},
		"the limit suffices":              {[]float64{10, 0}, 1},
		"no limit":                        {[]float64{0, 0}, 1},
		"the first of several is limited": {[]float64{1, 1, 0}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1, len(tt.limits), model("hot", 40))
			d.loadModels(0, "hot")
			for i, perSecond := range tt.limits {
				if perSecond > 0 {
					d.engines[d.ids[i]].Limit = fleet.NewRateLimit(perSecond)
				}
			}
			d.run(2 * time.Second)
			for range 60 {
				d.planner.UpdateDemand(d.now, "host", []Demand{{Service: "llm", Target: target("hot"), Arrivals: 1}})
				d.run(250 * time.Millisecond)
			}
			require.Equal(t, tt.want, d.replicas("hot"))
		})
	}
}
