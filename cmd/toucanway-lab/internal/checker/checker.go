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
	// I1: each load carries out a decision of its own, and no more replicas of a model are loaded than decided.
	I1 Invariant = "I1"
	// I2: the memory of a backend server is never exceeded.
	I2 Invariant = "I2"
	// I3: each request is answered or refused before its deadline, unless its host was stopped or unreachable.
	I3 Invariant = "I3"
	// I4: each attempt has at most one outcome, and an answer is the expected one.
	I4 Invariant = "I4"
	// I5: a request that is refused as not run does not run.
	I5 Invariant = "I5"
	// I6: a non-idempotent request runs at most once.
	I6 Invariant = "I6"
	// I7: a backend server that leaves gets no new requests after LeaveLimit.
	I7 Invariant = "I7"
	// I8: a graceful shutdown of a host loses no request and refuses none that was sent before it began.
	I8 Invariant = "I8"
	// I9: each host has the newest accepted document in force after DocumentLimit and never goes back to an earlier one.
	I9 Invariant = "I9"
)

// Settings are the tolerances of a check.
type Settings struct {
	// DeadlineTolerance is how long after its deadline a caller may see an outcome: the round trip between callers and entry
	// hosts.
	DeadlineTolerance time.Duration
}

// Violation is one breach of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Invariant, v.At, v.Detail) }

// Report returns the violations as a text of one line each, empty if there are none.
func Report(violations []Violation) string {
	var b strings.Builder
	for _, v := range violations {
		b.WriteString(v.String() + "\n")
	}
	return b.String()
}

// Check returns the violations in a history, ordered by time. The records must be ordered by time.
func Check(s Settings, records []history.Record) []Violation {
	c := &checker{settings: s, records: records}
	for _, r := range records {
		switch r.Event.(type) {
		case history.HostStopped, history.HostUnreachable, history.HostReachable, history.ShutdownEnded, history.DocumentInForce:
			c.hostRecords = append(c.hostRecords, r)
		}
	}
	c.checkReplicas()
	c.checkRequests()
	c.checkBackends()
	c.checkShutdowns()
	c.checkDocuments()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

type checker struct {
	settings Settings
	records  []history.Record
	// hostRecords are the records that show when a host is reachable.
	hostRecords []history.Record
	violations  []Violation
}

func (c *checker) report(i Invariant, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: i, At: at, Detail: fmt.Sprintf(format, args...)})
}

// end returns the time of the last record.
func (c *checker) end() time.Duration {
	if len(c.records) == 0 {
		return 0
	}
	return c.records[len(c.records)-1].At
}
