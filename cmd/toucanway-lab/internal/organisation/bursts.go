package organisation

import (
	"fmt"
	"slices"
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
)

// burst is one cold start, from the first request for a model on.
type burst struct {
	model    fleet.ModelID
	began    time.Duration
	decided  time.Duration
	ready    []time.Duration
	backends []fleet.BackendID
	first    time.Duration
}

// bursts returns the cold starts of the models that got first requests, in the order of their times.
func bursts(records []history.Record, models map[history.Key]fleet.ModelID) []burst {
	of := map[fleet.ModelID]*burst{}
	for _, r := range records {
		switch e := r.Event.(type) {
		case history.RequestInvoked:
			if m, ok := models[e.Key]; ok && of[m] == nil {
				of[m] = &burst{model: m, began: r.At}
			}
		case history.LoadDecided:
			if b := of[e.Model]; b != nil {
				if len(b.backends) == 0 {
					b.decided = r.At
				}
				b.backends = append(b.backends, e.Backend)
			}
		case history.LoadEnded:
			if b := of[e.Model]; b != nil && e.Ready {
				b.ready = append(b.ready, r.At)
			}
		case history.RequestAnswered:
			// FirstByte counts from the attempt, whose begin is the end of the answer less its duration; the first answer to
			// end stands for the first token here.
			if b := of[models[e.Key]]; b != nil && b.first == 0 {
				b.first = r.At
			}
		}
	}
	var out []burst
	for _, b := range of {
		out = append(out, *b)
	}
	slices.SortFunc(out, func(a, b burst) int { return int(a.began - b.began) })
	return out
}

// String returns the times since the first request.
func (b burst) String() string {
	since := func(at time.Duration) string {
		if at == 0 {
			return "never"
		}
		return (at - b.began).Round(time.Millisecond).String()
	}
	ready := make([]string, 0, len(b.ready))
	for _, at := range b.ready {
		ready = append(ready, since(at))
	}
	return fmt.Sprintf("cold start of %s: load decided after %s on %v, ready after %v, first whole answer after %s",
		b.model, since(b.decided), b.backends, ready, since(b.first))
}
