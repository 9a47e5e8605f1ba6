package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/checker"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/cmd/toucanway-lab/internal/report"
)

func (r *run) addOutcome(label string, o *caller.Outcome) { r.stepResults.Add(label, o) }

// report prints the results of the run and returns ErrViolated if an invariant was violated.
func (r *run) report(out io.Writer) error {
	records := r.history.Records()
	violations := r.violations()
	fmt.Fprintln(out)
	t := &report.Table{Title: "requests by kind", Columns: []string{
		"kind", "sent", "answered", "refused", "lost", "wrong", "first token p50 ms", "p95 ms", "p99 ms",
	}}
	for _, s := range slices.Concat(r.stepResults.Summaries(), r.backgroundResults.Summaries()) {
		refused := int64(0)
		for _, n := range s.Counts.Refused {
			refused += n
		}
		t.Add(s.Label, s.Counts.Sum(), s.Counts.Answered, refused, s.Counts.Lost, s.Counts.Wrong, s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99)
	}
	if err := t.WriteText(out); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nrefusals after the last attempt: %s\n", r.refusals())
	for _, cold := range r.coldStarts {
		fmt.Fprintf(out, "cold start of %s: first token after %.2f s to %.2f s, %d of %d requests answered\n",
			cold.model, cold.minFirstToken.Seconds(), cold.maxFirstToken.Seconds(), cold.answered, cold.requests)
	}
	orders, maxRuns := r.orderRuns()
	fmt.Fprintf(out, "orders that ran: %d, most runs of one order: %d\n", orders, maxRuns)
	counts := map[checker.Invariant]int{}
	for _, v := range violations {
		counts[v.Invariant]++
	}
	var b strings.Builder
	for _, i := range []checker.Invariant{
		checker.I1, checker.I2, checker.I3, checker.I4, checker.I5, checker.I6, checker.I7, checker.I8, checker.I9,
	} {
		state := "holds"
		if counts[i] > 0 {
			state = fmt.Sprintf("VIOLATED %d times", counts[i])
		}
		fmt.Fprintf(&b, "%s %s  ", i, state)
	}
	fmt.Fprintf(out, "invariants over %d events: %s\n", len(records), strings.TrimSpace(b.String()))
	if len(violations) > 0 {
		fmt.Fprint(out, checker.Report(violations))
		return ErrViolated
	}
	return nil
}

// refusals returns the refusal codes of the requests that were not answered, each with its count.
func (r *run) refusals() string {
	sum := map[string]int64{}
	for _, results := range []*load.Results{r.stepResults, r.backgroundResults} {
		for _, s := range results.Summaries() {
			if s.Label != load.AllLabel {
				continue
			}
			for code, n := range s.Counts.Refused {
				sum[code] += n
			}
		}
	}
	if len(sum) == 0 {
		return "none"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(sum)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, sum[code]))
	}
	return strings.Join(parts, ", ")
}

// orderRuns returns the number of non-idempotent requests that ran, and the largest number of runs of one of them.
func (r *run) orderRuns() (orders, maxRuns int) {
	nonIdempotent := map[history.Key]bool{}
	for _, e := range history.Filter[history.RequestInvoked](r.history.Records()) {
		if e.NonIdempotent {
			nonIdempotent[e.Key] = true
		}
	}
	runs := map[history.Key]int{}
	for _, e := range history.Filter[history.RequestRun](r.history.Records()) {
		if nonIdempotent[e.Key] {
			runs[e.Key]++
			maxRuns = max(maxRuns, runs[e.Key])
		}
	}
	return len(runs), maxRuns
}
