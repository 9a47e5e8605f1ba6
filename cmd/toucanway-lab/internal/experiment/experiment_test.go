package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/cmd/toucanway-lab/internal/report"
)

// recordingRunner records the variants and seeds that it runs, and fails for the variant "broken".
type recordingRunner struct{ calls []string }

var errBroken = errors.New("broken")

func (r *recordingRunner) Run(_ context.Context, v Variant, seed uint64) (report.VariantResult, error) {
	r.calls = append(r.calls, fmt.Sprint(v, seed))
	if v == "broken" {
		return report.VariantResult{}, errBroken
	}
	p := load.Percentiles{P99: float64(seed)}
	return report.VariantResult{Summaries: []load.Summary{{Label: "memo", FirstToken: p}}}, nil
}

// Guards against an order of runs that favours one variant, and against a report that swaps baseline and change.
func TestExperiment(t *testing.T) {
	r := &recordingRunner{}
	e := Experiment{Name: "classes", Baseline: "fifo", Change: "classes", Runner: r}
	results, err := e.Run(t.Context(), []uint64{1, 2})
	require.NoError(t, err)
	require.Equal(t, []string{"fifo1", "classes1", "classes2", "fifo2"}, r.calls)
	require.Equal(t, "fifo", results[1].Baseline.Name)
	var b strings.Builder
	dir := t.TempDir()
	require.NoError(t, e.Write(&b, dir, results))
	require.Contains(t, b.String(), "classes, seed 2")
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, files, 3)

	e.Change = "broken"
	_, err = e.Run(t.Context(), []uint64{1})
	require.ErrorIs(t, err, errBroken)
	_, err = Find([]Experiment{e}, "classes")
	require.NoError(t, err)
	_, err = Find([]Experiment{e}, "other")
	require.ErrorIs(t, err, ErrUnknown)
	require.ErrorContains(t, err, "classes")
}
