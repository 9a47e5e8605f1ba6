package placementpolicy

import (
	"fmt"
	"strings"
)

// Table is the result of one experiment: one row per policy, the baseline first.
type Table struct {
	Name    string
	Seed    uint64
	Columns []string
	Rows    []Row
}

// Row holds the values of one policy in the order of the table's columns.
type Row struct {
	Policy string
	Values []float64
}

// Value returns the value of a policy in a column, and whether it exists.
func (t *Table) Value(policy, column string) (float64, bool) {
	for _, r := range t.Rows {
		for i, c := range t.Columns {
			if r.Policy == policy && c == column {
				return r.Values[i], true
			}
		}
	}
	return 0, false
}

// String returns the table as Markdown.
func (t *Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d\n\n| policy | %s |\n|---|%s\n", t.Name, t.Seed, strings.Join(t.Columns, " | "),
		strings.Repeat("---|", len(t.Columns)))
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "| %s |", r.Policy)
		for _, v := range r.Values {
			fmt.Fprintf(&b, " %.4g |", v)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
