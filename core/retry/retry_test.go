package retry

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

var epoch = time.Unix(1_000_000, 0)

const seed = 20261204

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against retries that multiply a tenant's load: the bound is 10% of its requests plus one a second plus the burst.
func TestBudgetBoundsAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Settings{Rand: rand.New(rand.NewPCG(seed, 0))})
		now := epoch
		requests, spent := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			b.AddRequest(now, "t")
			requests++
			for range rapid.IntRange(0, 3).Draw(t, "failures") {
				if _, ok := b.Retry(now, "t", 1, time.Hour); ok {
					spent++
				}
			}
			bound := DefaultRetriesPerRequest*float64(requests) + DefaultMinRetriesPerSecond*now.Sub(epoch).Seconds() + DefaultBurst
			require.LessOrEqual(t, float64(spent), bound)
		}
	})
}

// Each case guards against a retry that a limit forbids, or against a missing retry that all limits allow.
func TestRetry(t *testing.T) {
	for name, c := range map[string]struct {
		attempts     int
		timeLeft     time.Duration
		alreadySpent int
		want         bool
	}{
		"first failure":       {attempts: 1, timeLeft: time.Minute, want: true},
		"attempts used up":    {attempts: 3, timeLeft: time.Minute},
		"deadline has passed": {attempts: 1, timeLeft: 0},
		"allowance used up":   {attempts: 1, timeLeft: time.Minute, alreadySpent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(Settings{Rand: rand.New(rand.NewPCG(seed, 0))})
			for range c.alreadySpent {
				require.True(t, b.Spend(epoch, "t"))
			}
			wait, ok := b.Retry(epoch, "t", c.attempts, c.timeLeft)
			require.Equal(t, c.want, ok)
			require.LessOrEqual(t, wait, DefaultBackoff)
		})
	}
}

// Guards against an unbounded number of tenants, and against dropping the allowance of a busy tenant before that of an idle one.
func TestBudgetTenantsAreBounded(t *testing.T) {
	b := NewBudget(Settings{Rand: rand.New(rand.NewPCG(seed, 0)), Tenants: 2})
	b.AddRequest(epoch, "idle")
	b.AddRequest(epoch.Add(time.Second), "busy")
	b.AddRequest(epoch.Add(2*time.Second), "new")
	require.Len(t, b.tenants, 2)
	require.NotContains(t, b.tenants, fleet.TenantID("idle"))
}

// Guards against hedging requests that must not run twice, and against a delay that does not follow the observed times.
func TestHedgeDelay(t *testing.T) {
	var h Hedges
	_, ok := h.Delay("m", time.Second, false)
	require.False(t, ok)
	d, ok := h.Delay("m", 100*time.Millisecond, true)
	require.True(t, ok)
	require.Equal(t, defaultHedgeDelay, d)
	for i := range 400 {
		first := 100 * time.Millisecond
		if i%10 == 0 {
			first *= 4
		}
		h.Observe("m", first, 100*time.Millisecond)
	}
	d, _ = h.Delay("m", 50*time.Millisecond, true)
	require.InDelta(t, 200, d.Milliseconds(), 10)
}

// Guards against an answer with tokens that are repeated, missing or from another request when attempts are resumed or hedged,
// and when chunks are duplicated or misdelivered.
func TestStreamJoinsAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "total")
		s := NewStream("r")
		var got []int
		positions := map[Connection]int{}
		last := Connection(0)
		attempt := func() {
			last++
			positions[last] = s.AddAttempt(last)
		}
		attempt()
		for step := 0; !s.done; step++ {
			require.Less(t, step, 2000, "the stream makes no progress")
			if len(positions) == 0 || len(positions) < 3 && rapid.IntRange(0, 9).Draw(t, "hedge") == 0 {
				attempt()
			}
			c := Connection(rapid.IntRange(1, int(last)).Draw(t, "connection"))
			from, open := positions[c]
			chunk := Chunk{Connection: c, Request: "r", Index: from, Tokens: min(rapid.IntRange(1, 5).Draw(t, "tokens"), total-from)}
			switch rapid.IntRange(0, 12).Draw(t, "fault") {
			case 0:
				chunk.Request = "other"
			case 1:
				chunk.Index = max(0, from-3)
			case 2:
				chunk.Index += 2
			case 3:
				s.Fail(c)
				delete(positions, c)
				continue
			}
			chunk.Last = chunk.Index+chunk.Tokens >= total
			switch v := s.Receive(chunk).(type) {
			case Deliver:
				require.True(t, open)
				for i := v.Skip; i < chunk.Tokens; i++ {
					got = append(got, chunk.Index+i)
				}
				positions[c] = s.Next()
				for _, other := range v.Cancel {
					delete(positions, other)
				}
			case Discard:
			case Gap, Misdelivered:
				s.Fail(c)
				delete(positions, c)
			}
		}
		require.Len(t, got, total)
		for i, index := range got {
			require.Equal(t, i, index)
		}
	})
}

// Guards against repetitions that count as new requests, and against a request that counts as a repetition although the earlier
// one was answered in full.
func TestRepetitions(t *testing.T) {
	var r Repetitions
	require.False(t, r.Seen(epoch, 1))
	require.True(t, r.Seen(epoch.Add(50*time.Second), 1))
	require.True(t, r.Seen(epoch.Add(70*time.Second), 1), "a fingerprint is kept for the full retention")
	r.Forget(1)
	require.False(t, r.Seen(epoch.Add(71*time.Second), 1))
	require.False(t, r.Seen(epoch.Add(time.Hour), 1), "forgotten")
	r.Limit = 2
	for f := range fleet.Fingerprint(100) {
		r.Seen(epoch.Add(time.Hour), f)
		require.LessOrEqual(t, len(r.current)+len(r.previous), 4)
	}
}
