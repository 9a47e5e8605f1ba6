package organisation

import (
	"fmt"
	"slices"
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
)

// coldStart is one cold start of a model, with the times of its events in the run; a time is zero if the event did not occur.
type coldStart struct {
	model        fleet.ModelID
	firstRequest time.Duration
	loadDecided  time.Duration
	ready        []time.Duration
	backends     []fleet.BackendID
	firstAnswer  time.Duration
}

// coldStarts returns the cold starts of the models that received burst requests, ordered by the time of the first request.
func coldStarts(records []history.Record, models map[history.Key]fleet.ModelID) []coldStart {
	byModel := map[fleet.ModelID]*coldStart{}
	for _, r := range records {
		switch e := r.Event.(type) {
		case history.RequestInvoked:
			if m, ok := models[e.Key]; ok && byModel[m] == nil {
				byModel[m] = &coldStart{model: m, firstRequest: r.At}
			}
		case history.LoadDecided:
			if b := byModel[e.Model]; b != nil {
				if len(b.backends) == 0 {
					b.loadDecided = r.At
				}
				b.backends = append(b.backends, e.Backend)
			}
		case history.LoadEnded:
			if b := byModel[e.Model]; b != nil && e.Ready {
				b.ready = append(b.ready, r.At)
			}
		case history.RequestAnswered:
			// The event has the time of the end of the answer. Since the start of the attempt is not known here, FirstByte
			// cannot be used, so firstAnswer is the end of the first complete answer.
			if b := byModel[models[e.Key]]; b != nil && b.firstAnswer == 0 {
				b.firstAnswer = r.At
			}
		}
	}
	var out []coldStart
	for _, b := range byModel {
		out = append(out, *b)
	}
	slices.SortFunc(out, func(a, b coldStart) int { return int(a.firstRequest - b.firstRequest) })
	return out
}

// String formats the times as durations since the first request.
func (b coldStart) String() string {
	since := func(at time.Duration) string {
		if at == 0 {
			return "never"
		}
		return (at - b.firstRequest).Round(time.Millisecond).String()
	}
	ready := make([]string, 0, len(b.ready))
	for _, at := range b.ready {
		ready = append(ready, since(at))
	}
	return fmt.Sprintf("cold start of %s: load decided after %s on %v, ready after %v, first complete answer after %s",
		b.model, since(b.loadDecided), b.backends, ready, since(b.firstAnswer))
}
