package report

import (
	"io"
	"strings"
)

// RatioBars writes a PNG of bars of the ratio of the change to the baseline, for the values whose name has one of the prefixes
// and whose baseline is not zero.
func (c *Comparison) RatioBars(w io.Writer, prefixes ...string) error {
	baseline, change := Series{Name: c.Baseline.Name}, Series{Name: c.Change.Name}
	var groups []string
	for _, m := range c.Measures() {
		ratio, ok := m.Ratio()
		if !ok || !hasPrefix(m.Name, prefixes) {
			continue
		}
		groups = append(groups, strings.ReplaceAll(m.Name, " ", "\n"))
		baseline.Y, change.Y = append(baseline.Y, 1), append(change.Y, ratio)
	}
	return Bars(w, c.Title, "ratio to the baseline", groups, []Series{baseline, change})
}

func hasPrefix(name string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}
