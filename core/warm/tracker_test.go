package warm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

var costs = Costs{IdlePerHour: 1, ColdStart: 0.5, LoadTime: 30 * time.Second}

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// Guards against keeping a target loaded although its next call is far away, and against unloading one that is called again
// soon.
func TestKeepFollowsGaps(t *testing.T) {
	for name, c := range map[string]struct {
		gap, age time.Duration
		keep     bool
	}{
		"short gaps, just called":         {time.Minute, 10 * time.Second, true},
		"short gaps, not called for long": {time.Minute, time.Hour, false},
		"idle cost above a cold start":    {2 * time.Hour, time.Minute, false},
		"end of a long gap":               {2 * time.Hour, 110 * time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			tr := New(Settings{})
			m := fleet.Target{Model: "m"}
			var now time.Duration
			for range 20 {
				now += c.gap
				tr.Observe(at(now), m)
			}
			require.Equal(t, c.keep, tr.WorthKeeping(at(now+c.age), m, costs))
		})
	}
}

// Guards against using the histogram or the prediction after only a few calls.
func TestFewCallsUseFixedTime(t *testing.T) {
	tr := New(Settings{})
	m := fleet.Target{Model: "m"}
	tr.Observe(at(0), m)
	require.True(t, tr.WorthKeeping(at(DefaultKeepTime-time.Second), m, costs))
	require.False(t, tr.WorthKeeping(at(DefaultKeepTime+time.Second), m, costs))
}

// Guards against preloads that are not started before regular calls, daily calls at the same time and follow-up calls, and
// against preloads at other times.
func TestPreloadBeforePredictedCalls(t *testing.T) {
	m, previous := fleet.Target{Model: "m"}, fleet.Target{Model: "lead"}
	for name, c := range map[string]struct {
		observe    func(*Tracker) time.Duration
		justBefore time.Duration
		tooEarly   time.Duration
	}{
		"regular": {func(tr *Tracker) time.Duration {
			for i := range 12 {
				tr.Observe(at(time.Duration(i)*time.Hour), m)
			}
			return 11 * time.Hour
		}, 58 * time.Minute, 20 * time.Minute},
		"time of day": {func(tr *Tracker) time.Duration {
			for i := range 8 {
				tr.Observe(at(time.Duration(i)*day+time.Duration(i%3)*time.Minute), m)
			}
			return 7 * day
		}, day - 10*time.Second, 10 * time.Hour},
		"follow-up": {func(tr *Tracker) time.Duration {
			var now time.Duration
			for i := range 10 {
				now += time.Duration(2+i*i) * time.Hour
				tr.Observe(at(now), previous)
				tr.Observe(at(now+time.Minute), m)
			}
			now += 300 * time.Hour
			tr.Observe(at(now), previous)
			return now
		}, time.Second, 2 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			tr := New(Settings{})
			last := c.observe(tr)
			require.True(t, tr.WorthPreloading(at(last+c.justBefore), m, costs))
			require.False(t, tr.WorthPreloading(at(last+c.tooEarly), m, costs))
			require.True(t, tr.WorthKeeping(at(last+c.justBefore), m, costs), "preloaded and unloaded at once")
		})
	}
}

// Guards against a table that grows with every target ever called.
func TestTargetsAreBounded(t *testing.T) {
	tr := New(Settings{})
	for i := range maxTargets + 10 {
		tr.Observe(at(time.Duration(i)*time.Hour), fleet.Target{Model: "m", Adapter: fleet.AdapterID(time.Duration(i).String())})
	}
	require.Len(t, tr.targets, maxTargets)
	_, ok := tr.LastCall(fleet.Target{Model: "m", Adapter: "0s"})
	require.False(t, ok)
}
