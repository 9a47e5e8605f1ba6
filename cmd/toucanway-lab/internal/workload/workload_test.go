package workload

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/core/config"
	"toucanway/core/fleet"
)

const seed = 7

// Guards against plans that differ between runs, are out of order, or lack stragglers, repetitions or bursts from many callers
// for idle models, and against calls for targets or from callers that the example document does not declare.
func TestPlan(t *testing.T) {
	t.Log("seed", seed)
	for _, org := range []Organisation{KopiLintasData(), Asociacion()} {
		t.Run(org.Name, func(t *testing.T) {
			declared, problems := config.Parse("document.yaml", org.Example.Document())
			require.NoError(t, problems.Err())
			s := Settings{Seed: seed, Duration: 2 * time.Minute, Rate: 50}
			got := slices.Collect(org.Plan(s))
			require.True(t, reflect.DeepEqual(got, slices.Collect(org.Plan(s))), "equal seeds give equal plans")
			require.True(t, slices.IsSortedFunc(got, func(a, b load.Planned) int { return int(a.At - b.At) }))
			labels := map[string]int{}
			keys := map[history.Key]int{}
			callers := map[int]bool{}
			models := map[fleet.ModelID]int{}
			for _, p := range got {
				labels[p.Request.Label]++
				keys[p.Request.Key]++
				models[p.Request.Target.Model]++
				if p.Request.Label == "burst" {
					callers[p.Caller] = true
				}
				require.Equal(t, keys[p.Request.Key] > 1, p.Request.Repetition > 0)
				if p.Request.Service == "" {
					require.True(t, declared.HasTarget(p.Request.Target), "%v is not in the example document", p.Request.Target)
				}
				_, known := declared.CallerByToken(p.Request.Credential)
				require.True(t, known, "no caller has the credential")
			}
			require.Equal(t, 6*30, labels["burst"]+labels["burst-straggler"])
			require.Greater(t, len(callers), 80)
			// The number of Poisson arrivals is within five standard deviations of its mean.
			require.InDelta(t, 50*120, len(keys)-6*30, 5*78)
			for _, c := range org.Calls {
				require.Positive(t, labels[c.Label], c.Label)
				if c.Service == "" {
					require.Positive(t, labels[c.Label+"-straggler"], c.Label)
				}
				if c.NonIdempotent {
					require.Positive(t, labels[c.Label+"-resend"], c.Label)
				}
			}
			task := org.Models(org.Calls[0].Task)
			require.Greater(t, models[task[0]], 10*models[task[len(task)/2]])
		})
	}
}

// Guards against rate variations that are too slow or too small.
func TestRateVariation(t *testing.T) {
	w := newRateVariation(Settings{Seed: seed, Duration: 5 * time.Minute})
	low, high := w.factor(0), w.factor(0)
	for at := time.Duration(0); at < 5*time.Minute; at += time.Second {
		low, high = min(low, w.factor(at)), max(high, w.factor(at))
	}
	require.Greater(t, high/low, 4.0)
	require.Equal(t, 1.0, newRateVariation(Settings{Steady: true}).factor(time.Hour))
}
