package report

import (
	"maps"
	"slices"

	"toucanway/cmd/toucanway-lab/internal/load"
)

// VariantResult is the result of one variant of an experiment: a summary of its load for each label, and its other values by
// name.
type VariantResult struct {
	Name      string             `json:"name"`
	Summaries []load.Summary     `json:"summaries,omitempty"`
	Values    map[string]float64 `json:"values,omitempty"`
	// Notes are lines that are printed below the table.
	Notes []string `json:"notes,omitempty"`
}

// Comparison holds the results of a baseline and of a change under the same load.
type Comparison struct {
	Title    string        `json:"title"`
	Baseline VariantResult `json:"baseline"`
	Change   VariantResult `json:"change"`
}

// Measure is a value of the baseline and of the change.
type Measure struct {
	Name             string
	Baseline, Change float64
}

// Ratio returns the change divided by the baseline, and false when the baseline is zero.
func (m Measure) Ratio() (float64, bool) {
	if m.Baseline == 0 {
		return 0, false
	}
	return m.Change / m.Baseline, true
}

// Measures returns the values of the summaries whose label both variants have, and then all other values, sorted by name. A
// value that one variant does not have is zero there.
func (c *Comparison) Measures() []Measure {
	var out []Measure
	for _, b := range c.Baseline.Summaries {
		i := slices.IndexFunc(c.Change.Summaries, func(s load.Summary) bool { return s.Label == b.Label })
		if i < 0 {
			continue
		}
		baseline, change := summaryValues(b), summaryValues(c.Change.Summaries[i])
		for j, name := range summaryNames {
			out = append(out, Measure{Name: b.Label + " " + name, Baseline: baseline[j], Change: change[j]})
		}
	}
	names := maps.Clone(c.Baseline.Values)
	if names == nil {
		names = map[string]float64{}
	}
	maps.Copy(names, c.Change.Values)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, Measure{Name: name, Baseline: c.Baseline.Values[name], Change: c.Change.Values[name]})
	}
	return out
}

// summaryNames are the names of the values that summaryValues returns.
var summaryNames = [...]string{
	"answered", "not answered", "wrong", "answered/s", "first token p50 ms", "first token p95 ms", "first token p99 ms",
	"total p50 ms", "total p99 ms", "token gap p95 ms",
}

func summaryValues(s load.Summary) [len(summaryNames)]float64 {
	c := s.Counts
	return [...]float64{
		float64(c.Answered), float64(c.Sum() - c.Answered - c.Wrong), float64(c.Wrong), s.Rate,
		s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99, s.Total.P50, s.Total.P99, s.TokenGap.P95,
	}
}

// Table returns the values of both variants with the ratio of the change to the baseline.
func (c *Comparison) Table() *Table {
	t := &Table{Title: c.Title, Columns: []string{"measure", c.Baseline.Name, c.Change.Name, "ratio"}}
	for _, m := range c.Measures() {
		ratio := "-"
		if r, ok := m.Ratio(); ok {
			ratio = Cell(r)
		}
		t.Add(m.Name, m.Baseline, m.Change, ratio)
	}
	return t
}

// SummaryTable returns load results as a table with a row for each label.
func SummaryTable(title string, summaries []load.Summary) *Table {
	t := &Table{Title: title, Columns: append([]string{"label"}, summaryNames[:]...)}
	for _, s := range summaries {
		row := []any{s.Label}
		for _, v := range summaryValues(s) {
			row = append(row, v)
		}
		t.Add(row...)
	}
	return t
}
