package report

import (
	"bytes"
	"image/png"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/load"
)

func comparison() *Comparison {
	result := func(name string, p99 float64) VariantResult {
		return VariantResult{
			Name: name, Values: map[string]float64{"cross-region bytes": p99 * 10, name: 1},
			Summaries: []load.Summary{{
				Label: "memo", Counts: load.Counts{Answered: 90, Wrong: 1, Lost: 4, Refused: map[string]int64{"queue-full": 5}},
				FirstToken: load.Percentiles{P99: p99},
			}},
		}
	}
	return &Comparison{Title: "priorities", Baseline: result("fifo", 1600), Change: result("classes", 400)}
}

// Guards against inverted ratios (baseline to change), against divisions by zero, and against the comparison of different
// values.
func TestComparison(t *testing.T) {
	var b strings.Builder
	require.NoError(t, comparison().Table().WriteText(&b))
	got := map[string]string{}
	for _, line := range strings.Split(b.String(), "\n") {
		f := strings.Fields(line)
		if len(f) > 3 {
			got[strings.Join(f[:len(f)-3], " ")] = strings.Join(f[len(f)-3:], " ")
		}
	}
	require.Equal(t, "1600 400 0.25", got["memo first token p99 ms"])
	require.Equal(t, "9 9 1", got["memo not answered"])
	require.Equal(t, "0 0 -", got["memo total p50 ms"])
	require.Equal(t, "16000 4000 0.25", got["cross-region bytes"])
	require.NotContains(t, b.String(), "\n fifo ")
	require.Len(t, SummaryTable("x", comparison().Baseline.Summaries).Rows, 1)
}

// Guards against output that is not a valid PNG image, and against series whose length differs from that of their axis.
func TestPlots(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, comparison().LatencyBars(&b, "p99", func(s load.Summary) float64 { return s.FirstToken.P99 }))
	_, err := png.Decode(&b)
	require.NoError(t, err)
	b.Reset()
	require.NoError(t, Lines(&b, "t", "s", "1/s", []Series{{Name: "a", X: []float64{0, 1}, Y: []float64{1, 2}}}))
	_, err = png.Decode(&b)
	require.NoError(t, err)
	require.Error(t, Bars(&b, "t", "s", []string{"a"}, []Series{{Name: "a"}}))
	require.Error(t, Lines(&b, "t", "s", "s", []Series{{Name: "a", X: []float64{1}}}))
}

// Guards against numbers that are printed with fewer or more than three significant digits, and against whole numbers that
// lose digits.
func TestCell(t *testing.T) {
	for want, v := range map[string]any{"0.123": 0.12345, "12.3": 12.345, "12345": 12345.4, "x": "x", "7": 7} {
		require.Equal(t, want, Cell(v))
	}
}
