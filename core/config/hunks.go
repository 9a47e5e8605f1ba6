package config

import (
	"slices"
	"sort"

	"github.com/pmezard/go-difflib/difflib"

	"toucanway/core/control"
)

// hunks returns the changed lines. The texts are cut at lines that occur once in both, such as the names of models, since
// the time of SequenceMatcher grows with the square of the lines that repeat, as those of adapters do.
func hunks(before, after string) []control.Hunk {
	a, b := control.SplitLines(before), control.SplitLines(after)
	var out []control.Hunk
	i, j := 0, 0
	for _, anchor := range append(anchors(a, b), pair{len(a), len(b)}) {
		out = appendHunks(out, a, b, pair{i, j}, anchor)
		i, j = anchor.a+1, anchor.b+1
	}
	return out
}

// pair is a line of the old text and one of the new text.
type pair struct{ a, b int }

// anchors returns lines that occur once in both texts, in an order common to both.
func anchors(a, b []string) []pair {
	once := map[string]pair{}
	const none, many = -1, -2
	count := func(lines []string, at func(*pair) *int) {
		for i, line := range lines {
			p, ok := once[line]
			if !ok {
				p = pair{none, none}
			}
			if *at(&p) == none {
				*at(&p) = i
			} else {
				*at(&p) = many
			}
			once[line] = p
		}
	}
	count(a, func(p *pair) *int { return &p.a })
	count(b, func(p *pair) *int { return &p.b })
	var unique []pair
	for _, line := range a {
		if p := once[line]; p.a >= 0 && p.b >= 0 {
			unique = append(unique, p)
		}
	}
	return longestAscending(unique)
}

// longestAscending returns the longest part of the pairs, which ascend in a, that also ascends in b.
func longestAscending(pairs []pair) []pair {
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
	out := make([]pair, len(ends))
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

// appendHunks adds the changes between two pairs of lines, without the lines that are equal at both ends.
func appendHunks(out []control.Hunk, a, b []string, from, to pair) []control.Hunk {
	for from.a < to.a && from.b < to.b && a[from.a] == b[from.b] {
		from.a, from.b = from.a+1, from.b+1
	}
	for from.a < to.a && from.b < to.b && a[to.a-1] == b[to.b-1] {
		to.a, to.b = to.a-1, to.b-1
	}
	if from.a == to.a && from.b == to.b {
		return out
	}
	old, fresh := a[from.a:to.a], b[from.b:to.b]
	if matchingCost(old, fresh) > maxMatchingCost {
		return append(out, control.Hunk{Start: from.a, End: to.a, Lines: slices.Clone(fresh)})
	}
	for _, op := range difflib.NewMatcher(old, fresh).GetOpCodes() {
		if op.Tag != 'e' {
			out = append(out, control.Hunk{Start: from.a + op.I1, End: from.a + op.I2, Lines: slices.Clone(fresh[op.J1:op.J2])})
		}
	}
	return out
}

// maxMatchingCost bounds the pairs of equal lines between two unique lines. Beyond it, matching takes longer than to send all
// lines of the piece.
const maxMatchingCost = 500_000

// matchingCost counts the pairs of equal lines, which SequenceMatcher goes through at least once.
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
