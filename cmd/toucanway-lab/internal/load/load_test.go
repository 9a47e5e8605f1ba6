package load

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/pause"
)

// stalledSender is a sender that answers nothing until a given time, and then answers every request immediately.
type stalledSender struct {
	until   time.Time
	outcome func(*caller.Request) caller.Outcome
}

func (s *stalledSender) DoScheduled(ctx context.Context, r *caller.Request, intended time.Time) caller.Outcome {
	_ = pause.Until(ctx, s.until)
	o := s.outcome(r)
	o.Attempts = 1
	o.FirstToken, o.Total = time.Since(intended), time.Since(intended)
	return o
}

// plan returns n requests at a fixed interval, each of another caller.
func plan(n int, interval time.Duration) []Planned {
	var out []Planned
	for i := range n {
		out = append(out, Planned{At: time.Duration(i) * interval, Caller: i, Request: &caller.Request{Label: "chat"}})
	}
	return out
}

func answered(*caller.Request) caller.Outcome { return caller.Outcome{Answered: true, Tokens: 2} }

// Guards against coordinated omission: when a system stalls for a second, the waits of all requests of that second must count.
func TestLatencyFromIntendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalledSender{until: time.Now().Add(time.Second), outcome: answered}
		r := Run(t.Context(), Settings{Callers: []Sender{s}}, slices.Values(plan(200, 10*time.Millisecond)))
		summaries := r.Summaries()
		require.Len(t, summaries, 2)
		require.Equal(t, AllLabel, summaries[1].Label)
		got := summaries[0].FirstToken
		require.EqualValues(t, 200, got.Count)
		require.InDelta(t, 0, got.P50, 10)
		require.InEpsilon(t, 900, got.P95, 0.02)
		require.InEpsilon(t, 1000, got.Max, 0.001)
		require.EqualValues(t, 400, summaries[0].Counts.Tokens)
		require.InEpsilon(t, 200/1.99, summaries[0].Rate, 0.001)
	})
}

// Guards against outcomes that are counted twice, not at all, or in the wrong counter.
func TestOutcomesAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := []caller.Outcome{
			{Answered: true, Gaps: []time.Duration{time.Millisecond}}, {Answered: true, WrongReason: "repeated"},
			{Refusal: &wire.ErrorDetail{Code: "queue-full"}}, {Err: errors.New("reset")},
		}
		s := &stalledSender{until: time.Now().Add(time.Second)}
		s.outcome = func(*caller.Request) caller.Outcome {
			o := outcomes[0]
			outcomes = outcomes[1:]
			return o
		}
		p := plan(5, 0)
		for i := range p {
			p[i].At = time.Duration(i)
		}
		r := Run(t.Context(), Settings{Callers: []Sender{serialize(s)}, MaxInFlight: 4}, slices.Values(p))
		c := r.Summaries()[0].Counts
		require.Equal(t, Counts{
			Answered: 1, Wrong: 1, Refused: map[string]int64{"queue-full": 1}, Lost: 1, NotSent: 1, Attempts: 4,
		}, c)
		require.EqualValues(t, 5, c.Sum())
		require.EqualValues(t, 1, r.Summaries()[0].TokenGap.Count)
	})
}

// serialize returns a sender that carries out one request at a time.
func serialize(s Sender) Sender { return &serialSender{sender: s, slot: make(chan struct{}, 1)} }

type serialSender struct {
	sender Sender
	slot   chan struct{}
}

func (s *serialSender) DoScheduled(ctx context.Context, r *caller.Request, intended time.Time) caller.Outcome {
	s.slot <- struct{}{}
	defer func() { <-s.slot }()
	return s.sender.DoScheduled(ctx, r, intended)
}
