package capacity

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a line that is not the least-squares fit, and against extrapolation from fewer than minSizes sizes.
func TestMeasure(t *testing.T) {
	values := map[int][]float64{1: {9, 3}, 2: {5, 6}, 3: {8, 7}}
	m := Measurement{Name: "x", Sizes: []int{1, 2, 3}, Target: 10, Repeat: 2, Run: func(n int) (float64, error) {
		v := values[n][0]
		values[n] = values[n][1:]
		return v, nil
	}}
	s, err := Measure(m)
	require.NoError(t, err)
	require.Equal(t, []Point{{1, 3}, {2, 5}, {3, 7}}, s.Points, "the lower value of two runs")
	require.InDelta(t, 2, s.Slope, 1e-9)
	require.InDelta(t, 1, s.Intercept, 1e-9)
	require.InDelta(t, 1, s.RSquared, 1e-9)
	require.InDelta(t, 21, s.AtTarget, 1e-9)

	slope, intercept, fit := leastSquares([]Point{{0, 0}, {1, 1}, {2, 0}})
	require.InDelta(t, 0, slope, 1e-9)
	require.InDelta(t, 1.0/3, intercept, 1e-9)
	require.InDelta(t, 0, fit, 1e-9)

	m.Sizes = m.Sizes[:2]
	_, err = Measure(m)
	require.ErrorContains(t, err, "at least 3")
	broken := errors.New("broken")
	m.Sizes, m.Run = []int{1, 2, 3}, func(int) (float64, error) { return 0, broken }
	_, err = Measure(m)
	require.ErrorIs(t, err, broken)
}

// Guards against changes of the control state that make a measurement fail, which would otherwise show only in the next run
// of the capacity command. Each measurement runs at its smallest size.
func TestMeasurementsRun(t *testing.T) {
	for _, m := range Measurements() {
		t.Run(m.Name, func(t *testing.T) {
			_, err := m.Run(m.Sizes[0])
			require.NoError(t, err)
			require.GreaterOrEqual(t, len(m.Sizes), minSizes)
		})
	}
}
