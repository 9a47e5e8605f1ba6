package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is a titled table of text cells.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Add appends a row of cells, each formatted by Cell.
func (t *Table) Add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, Cell(c))
	}
	t.Rows = append(t.Rows, row)
}

// Cell formats a value as the text of a cell: a float64 with three significant digits, or as a whole number if
// it is at least 1000 or at most -1000.
func Cell(v any) string {
	f, ok := v.(float64)
	switch {
	case !ok:
		return fmt.Sprint(v)
	case f >= 1000 || f <= -1000:
		return fmt.Sprintf("%.0f", f)
	default:
		return fmt.Sprintf("%.3g", f)
	}
}

// WriteText writes the title and the table as text with aligned columns.
func (t *Table) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s\n", t.Title); err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{t.Columns}, t.Rows...) {
		if _, err := fmt.Fprintf(tw, "%s\t\n", strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
