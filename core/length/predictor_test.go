package length

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against predictions that ignore a caller's earlier outputs, and against predicting long outputs for a caller without
// history.
func TestPredict(t *testing.T) {
	p := New(Settings{Keys: 64})
	for range 100 {
		p.Observe(Request{Caller: "drafts", Model: "m", Class: fleet.ClassBatch, Prompt: 100}, 3000)
		p.Observe(Request{Caller: "memos", Model: "m", Class: fleet.ClassCritical, Prompt: 100}, 90)
	}
	for name, c := range map[string]struct {
		request    Request
		long       bool
		upperRange [2]fleet.Tokens
	}{
		"known long caller":          {Request{Caller: "drafts", Model: "m", Class: fleet.ClassBatch, Prompt: 100}, true, [2]fleet.Tokens{3000, 4200}},
		"known short caller":         {Request{Caller: "memos", Model: "m", Class: fleet.ClassCritical, Prompt: 100}, false, [2]fleet.Tokens{90, 128}},
		"other prompt size":          {Request{Caller: "memos", Model: "m", Class: fleet.ClassCritical, Prompt: 9000}, false, [2]fleet.Tokens{90, 128}},
		"new caller of a long class": {Request{Caller: "new", Model: "m", Class: fleet.ClassBatch, Prompt: 100}, true, [2]fleet.Tokens{3000, 4200}},
		"limit below usual output":   {Request{Caller: "drafts", Model: "m", Class: fleet.ClassBatch, Prompt: 100, Limit: 50}, false, [2]fleet.Tokens{50, 50}},
	} {
		t.Run(name, func(t *testing.T) {
			got := p.Predict(c.request)
			require.Equal(t, c.long, got.Long)
			require.GreaterOrEqual(t, got.UpperQuantile, c.upperRange[0])
			require.LessOrEqual(t, got.UpperQuantile, c.upperRange[1])
			require.Positive(t, got.Outcomes)
		})
	}
	require.False(t, New(Settings{}).Predict(Request{Model: "m"}).Long, "no history")
}

// Guards against unbounded growth when there are always new callers.
func TestPredictorIsBounded(t *testing.T) {
	p := New(Settings{Keys: 64})
	for i := range 1000 {
		p.Observe(Request{Caller: fleet.CallerID(fmt.Sprint(i)), Model: "m"}, 10)
	}
	require.Equal(t, 64, p.Len())
	require.Greater(t, p.Predict(Request{Caller: "x", Model: "m"}).Outcomes, 100, "the coarse key was dropped before the fine ones")
}

// Guards against predictions that do not adapt when a caller's output lengths change.
func TestPredictorAdapts(t *testing.T) {
	p := New(Settings{})
	r := Request{Caller: "c", Model: "m"}
	for range 2000 {
		p.Observe(r, 3000)
	}
	for range 1500 {
		p.Observe(r, 20)
	}
	require.False(t, p.Predict(r).Long)
}
