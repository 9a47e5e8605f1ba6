package policy

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Table is the result of one experiment.
type Table struct {
	Name    string
	Seed    uint64
	Columns []string
	Rows    []Row
}

// Row holds the values of one policy; the first row of a table is the baseline.
type Row struct {
	Policy string
	Values []float64
}

// String formats the rows, with each value followed by its ratio to the value of the baseline.
func (t Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d\n", t.Name, t.Seed)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "policy\t%s\n", strings.Join(t.Columns, "\t"))
	for i, r := range t.Rows {
		fmt.Fprint(w, r.Policy)
		for k, v := range r.Values {
			fmt.Fprintf(w, "\t%.4g", v)
			if base := t.Rows[0].Values[k]; i > 0 && base != 0 {
				fmt.Fprintf(w, " (%.2fx)", v/base)
			}
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
	return b.String()
}

// quantile returns a quantile of the values in milliseconds, zero if there are none.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[min(len(values)-1, int(q*float64(len(values))))]) / float64(time.Millisecond)
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
