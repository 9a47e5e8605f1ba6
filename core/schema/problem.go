package schema

import (
	"fmt"
	"slices"
	"strings"
)

// MaxProblems bounds the problems reported for one text. If there are more, an additional problem says how many.
const MaxProblems = 200

// maxCollected bounds the problems that are collected. The MaxProblems of them with the lowest lines are reported.
const maxCollected = 5 * MaxProblems

// Problem is one error in a text and how to correct it.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the problem as one line in the FILE:LINE form that editors can jump to.
func (p Problem) String() string {
	at := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Section != "" {
		at += "section " + p.Section + ": "
	}
	return at + p.Message + "; " + p.Remedy
}

// Problems are the errors in a text in the order of its lines.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// sorted orders problems by line and drops those beyond the bound.
func (p Problems) sorted(dropped int) Problems {
	slices.SortStableFunc(p, func(a, b Problem) int { return a.Line - b.Line })
	if over := len(p) + dropped - MaxProblems; over > 0 {
		p = p[:MaxProblems]
		p = append(p, Problem{
			File: p[0].File, Line: p[MaxProblems-1].Line,
			Message: fmt.Sprintf("%d more problems are not shown", over), Remedy: "correct those above first",
		})
	}
	return p
}
