package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

// Guards against grants that together exceed a limit in some span of time, also a limit of less than a request in the span, whatever
// the moments of the requests and the waits that they accept.
func TestGrantsStayWithinLimit(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := fleet.NewRateLimit(rapid.Float64Range(0.1, 50).Draw(t, "limit"))
		var b Buckets
		var sent []time.Time
		now := epoch
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			maxDelay := time.Duration(rapid.IntRange(0, 1000).Draw(t, "max delay")) * time.Millisecond
			if d := b.Delay(now, server, limit); d <= maxDelay {
				b.Take(now, server, limit)
				sent = append(sent, now.Add(d))
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) <= window {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), limit.PerSecond*(window+burstTime).Seconds()+1.001)
		}
	})
}

// Guards against a server that is kept empty for requests that were granted at a higher rate, and against one that gets them at once.
func TestChangedLimit(t *testing.T) {
	tests := map[string]struct {
		before, after float64
		grants        int
		delay         time.Duration
	}{
		"lower":            {10, 1, 10, 5 * time.Second},
		"higher":           {1, 10, 3, 250 * time.Millisecond},
		"lower, unused":    {10, 1, 0, 0},
		"lower, in bursts": {10, 1, 5, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var b Buckets
			for range tt.grants {
				b.Take(epoch, server, fleet.NewRateLimit(tt.before))
			}
			require.Equal(t, tt.delay, b.Delay(epoch, server, fleet.NewRateLimit(tt.after)))
		})
	}
}

// Guards against a restarted server that inherits what the process before has used.
func TestBucketOfNextIncarnation(t *testing.T) {
	var b Buckets
	limit := fleet.NewRateLimit(0.1)
	next := fleet.BackendIncarnation{Backend: "a", Incarnation: 6}
	b.Take(epoch, server, limit)
	require.Positive(t, b.Delay(epoch, server, limit))
	require.Zero(t, b.Delay(epoch, next, limit))
	require.Zero(t, b.Delay(epoch, server, fleet.RateLimit{}), "no limit")
}

// Guards against hosts without a leader that exceed a limit together, though each has a part of a request a second only, and against turns
// that gather while there are no requests.
func TestTurnsOfManyHosts(t *testing.T) {
	for _, hosts := range []int{1, 9, 300} {
		for _, perSecond := range []float64{0.4, 2, 20} {
			t.Run(fmt.Sprint(hosts, " hosts, limit ", perSecond), func(t *testing.T) {
				limit := fleet.NewRateLimit(perSecond)
				turns := make([]Turns, hosts)
				var sent []time.Time
				for ms := range 30_000 {
					// No requests for 10 s, then as many as there are turns.
					if 5_000 <= ms && ms < 15_000 {
						continue
					}
					for h := range turns {
						if _, ok := turns[h].Take(at(ms), server, limit, hosts, float64(h)/float64(hosts)); ok {
							sent = append(sent, at(ms))
						}
					}
				}
				first, most := 0, 0
				for i := range sent {
					for sent[i].Sub(sent[first]) > 4*time.Second {
						first++
					}
					most = max(most, i-first+1)
				}
				require.LessOrEqual(t, float64(most), perSecond*4+5)
				require.GreaterOrEqual(t, float64(len(sent)), fallbackShare*perSecond*20*0.7-1)
			})
		}
	}
}
