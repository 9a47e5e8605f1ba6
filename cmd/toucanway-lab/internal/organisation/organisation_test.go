package organisation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
	"toucanway/io/entry"
)

// Guards against a baseline variant with the product's policies, or a product variant with simple ones.
func TestPolicies(t *testing.T) {
	require.Equal(t, entry.Policies{}, Policies(Product))
	p := Policies(Simple)
	require.True(t, p.ArrivalOrder && p.Dispatch.LeastOutstanding && p.Dispatch.NoHedging)
	require.Positive(t, p.Planning.KeepWarm)
}

// Guards against cold starts that include loads of other models or answers to other requests.
func TestColdStarts(t *testing.T) {
	at := func(s int, e history.Event) history.Record {
		return history.Record{At: time.Duration(s) * time.Second, Event: e}
	}
	key := func(k history.Key) history.Attempt { return history.Attempt{Key: k, Number: 1} }
	got := coldStarts([]history.Record{
		at(1, history.LoadEnded{Model: "m", Ready: true}),
		at(2, history.RequestInvoked{Attempt: key("a")}),
		at(3, history.LoadDecided{Model: "other", Backend: "e1"}),
		at(4, history.LoadDecided{Model: "m", Backend: "e2"}),
		at(5, history.LoadEnded{Model: "m"}),
		at(6, history.LoadEnded{Model: "m", Ready: true}),
		at(7, history.RequestAnswered{Attempt: key("x")}),
		at(8, history.RequestAnswered{Attempt: key("a")}),
	}, map[history.Key]fleet.ModelID{"a": "m"})
	require.Equal(t, []coldStart{{
		model: "m", firstRequest: 2 * time.Second, loadDecided: 4 * time.Second, ready: []time.Duration{6 * time.Second},
		backends: []fleet.BackendID{"e2"}, firstAnswer: 8 * time.Second,
	}}, got)
}

// Guards against a peak that does not cover the spans with most requests, and against latencies that include refused requests.
func TestMeasures(t *testing.T) {
	var samples []sample
	for i := range 60 {
		samples = append(samples, sample{label: "chat", at: time.Duration(i) * time.Second, answered: true, firstToken: time.Second})
	}
	for range 30 {
		samples = append(samples, sample{label: "chat", at: 30 * time.Second})
	}
	samples = append(samples, sample{label: burstLabel, at: time.Second, answered: true, firstToken: 9 * time.Second})
	v := (&Runner{ShortLabels: []string{"chat"}}).measurements(samples, []window{{0, time.Second}}, 2)
	require.Equal(t, 9000.0, v["1 cold start p99 ms"])
	require.Equal(t, 2.0, v["2 idle accelerator hours"])
	require.Less(t, v["3 peak answered share"], v["4 short work answered share"])
	require.Equal(t, 1000.0, v["5 short work while slowed p99 ms"])
	require.Equal(t, 1.0, v["5 short work while slowed answered"])
}
