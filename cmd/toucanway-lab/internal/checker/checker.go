// Package checker judges from the history of a run whether invariants I1 to I9 of the design page held.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
)

const (
	// LeaveLimit is the time after which a leaving backend server gets no new work (I7).
	LeaveLimit = 2 * time.Second
	// DocumentLimit is the time after which an accepted document is in force on every host (I9).
	DocumentLimit = 4 * time.Second
)

// Invariant names one of I1 to I9.
type Invariant string

// The invariants of section 1.2 of the design page.
const (
	I1 Invariant = "I1"
	I2 Invariant = "I2"
	I3 Invariant = "I3"
	I4 Invariant = "I4"
	I5 Invariant = "I5"
	I6 Invariant = "I6"
	I7 Invariant = "I7"
	I8 Invariant = "I8"
	I9 Invariant = "I9"
)

// Settings describe what a run allows.
type Settings struct {
	// CallerDelay is the round trip between callers and entry hosts, by which a deadline is seen later by the caller.
	CallerDelay time.Duration
}

// Violation is one breach of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Invariant, v.At, v.Detail) }

// Report joins violations to one text, empty if there are none.
func Report(violations []Violation) string {
	var b strings.Builder
	for _, v := range violations {
		b.WriteString(v.String() + "\n")
	}
	return b.String()
}

// Check returns the violations in a history whose records are in the order of their times, ordered by time.
func Check(s Settings, records []history.Record) []Violation {
	c := &checker{settings: s, records: records}
	for _, r := range records {
		switch r.Event.(type) {
		case history.HostStopped, history.HostUnreachable, history.HostReachable, history.ShutdownEnded, history.DocumentInForce:
			c.hosts = append(c.hosts, r)
		}
	}
	c.replicas()
	c.requests()
	c.backends()
	c.shutdowns()
	c.documents()
	slices.SortStableFunc(c.found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.found
}

type checker struct {
	settings Settings
	records  []history.Record
	// hosts are the records from which follows when a host is up.
	hosts []history.Record
	found []Violation
}

func (c *checker) report(i Invariant, at time.Duration, format string, args ...any) {
	c.found = append(c.found, Violation{Invariant: i, At: at, Detail: fmt.Sprintf(format, args...)})
}

// end returns the time of the last record.
func (c *checker) end() time.Duration {
	if len(c.records) == 0 {
		return 0
	}
	return c.records[len(c.records)-1].At
}
