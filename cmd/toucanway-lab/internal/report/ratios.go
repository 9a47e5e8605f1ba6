package report

import (
	"io"
	"strings"
)

// RatioBars writes a PNG of the change relative to the baseline, for the values whose name has a prefix and whose baseline
// is not zero.
func (c *Comparison) RatioBars(w io.Writer, prefixes ...string) error {
	before, after := Series{Name: c.Baseline.Name}, Series{Name: c.Change.Name}
	var groups []string
	for _, m := range c.Measures() {
		ratio, ok := m.Ratio()
		if !ok || !hasPrefix(m.Name, prefixes) {
			continue
		}
		groups = append(groups, strings.ReplaceAll(m.Name, " ", "\n"))
		before.Y, after.Y = append(before.Y, 1), append(after.Y, ratio)
	}
	return Bars(w, c.Title, "ratio to the baseline", groups, []Series{before, after})
}

func hasPrefix(name string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}
