package config

import (
	"slices"
	"sort"

	"github.com/pmezard/go-difflib/difflib"

	"toucanway/core/control"
)

// diffLines returns the hunks of changed lines. The texts are split at lines that occur once in both, such as model names, since
// the running time of SequenceMatcher is quadratic in the number of repeated lines, such as those of adapters.
func diffLines(before, after string) []control.Hunk {
	a, b := control.SplitLines(before), control.SplitLines(after)
	var out []control.Hunk
	i, j := 0, 0
	for _, anchor := range append(anchors(a, b), linePair{len(a), len(b)}) {
		out = appendHunks(out, a, b, linePair{i, j}, anchor)
		i, j = anchor.a+1, anchor.b+1
	}
	return out
}

// linePair holds the index of a line in the old text and of one in the new text.
type linePair struct{ a, b int }

// anchors returns lines that occur exactly once in each text and are in the same order in both.
func anchors(a, b []string) []linePair {
	positions := map[string]linePair{}
	const none, many = -1, -2
	count := func(lines []string, at func(*linePair) *int) {
		for i, line := range lines {
			p, ok := positions[line]
			if !ok {
				p = linePair{none, none}
			}
			if *at(&p) == none {
				*at(&p) = i
			} else {
				*at(&p) = many
			}
			positions[line] = p
		}
	}
	count(a, func(p *linePair) *int { return &p.a })
	count(b, func(p *linePair) *int { return &p.b })
	var unique []linePair
	for _, line := range a {
		if p := positions[line]; p.a >= 0 && p.b >= 0 {
			unique = append(unique, p)
		}
	}
	return longestAscending(unique)
}

// longestAscending returns the longest subsequence of the pairs, which are sorted by a, that is also ascending in b.
func longestAscending(pairs []linePair) []linePair {
	var ends []int
	previous := make([]int, len(pairs))
	for i, p := range pairs {
		at := sort.Search(len(ends), func(k int) bool { return pairs[ends[k]].b >= p.b })
		previous[i] = -1
		if at > 0 {
			previous[i] = ends[at-1]
		}
		if at == len(ends) {
			ends = append(ends, i)
		} else {
			ends[at] = i
		}
	}
	out := make([]linePair, len(ends))
	for k, i := len(ends)-1, last(ends); k >= 0; k, i = k-1, previous[i] {
		out[k] = pairs[i]
	}
	return out
}

func last(ends []int) int {
	if len(ends) == 0 {
		return -1
	}
	return ends[len(ends)-1]
}

// appendHunks appends the changes between two pairs of lines, without equal lines at the start and the end.
func appendHunks(out []control.Hunk, a, b []string, from, to linePair) []control.Hunk {
	for from.a < to.a && from.b < to.b && a[from.a] == b[from.b] {
		from.a, from.b = from.a+1, from.b+1
	}
	for from.a < to.a && from.b < to.b && a[to.a-1] == b[to.b-1] {
		to.a, to.b = to.a-1, to.b-1
	}
	if from.a == to.a && from.b == to.b {
		return out
	}
	oldLines, newLines := a[from.a:to.a], b[from.b:to.b]
	if matchingCost(oldLines, newLines) > maxMatchingCost {
		return append(out, control.Hunk{Start: from.a, End: to.a, Lines: slices.Clone(newLines)})
	}
	for _, op := range difflib.NewMatcher(oldLines, newLines).GetOpCodes() {
		if op.Tag != 'e' {
			out = append(out, control.Hunk{Start: from.a + op.I1, End: from.a + op.I2, Lines: slices.Clone(newLines[op.J1:op.J2])})
		}
	}
	return out
}

// maxMatchingCost bounds the pairs of equal lines between two anchors. Beyond it, matching takes longer than sending all lines
// between them.
const maxMatchingCost = 500_000

// matchingCost counts the pairs of equal lines; SequenceMatcher visits each at least once.
func matchingCost(a, b []string) int {
	counts := make(map[string]int, len(b))
	for _, line := range b {
		counts[line]++
	}
	cost := 0
	for _, line := range a {
		cost += counts[line]
	}
	return cost
}
