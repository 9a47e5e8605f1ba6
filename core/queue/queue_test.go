package queue

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

var epoch = time.Unix(1_000_000, 0)

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func serve(*Entry) Verdict { return Serve }

func entry(c fleet.Class, tenant fleet.TenantID, deadline time.Duration) Entry {
	return Entry{Class: c, Tenant: tenant, Tokens: 100, Deadline: epoch.Add(deadline)}
}

// Each case checks one rule of the order in which entries are served.
func TestServiceOrder(t *testing.T) {
	for name, c := range map[string]struct {
		entries []Entry
		after   time.Duration
		want    []Ticket
	}{
		"classes in order": {
			entries: []Entry{entry(fleet.ClassBatch, "a", time.Hour), entry(fleet.ClassCritical, "a", time.Hour), entry(fleet.ClassStandard, "a", time.Hour)},
			want:    []Ticket{2, 3, 1},
		},
		"earliest deadline within a tenant": {
			entries: []Entry{entry(2, "a", 3*time.Second), entry(2, "a", time.Second), entry(2, "a", 2*time.Second)},
			want:    []Ticket{2, 3, 1},
		},
		"tenants take turns": {
			entries: []Entry{entry(2, "a", time.Second), entry(2, "a", time.Second), entry(2, "a", time.Second), entry(2, "b", time.Hour), entry(2, "b", time.Hour)},
			want:    []Ticket{1, 4, 2, 5, 3},
		},
		"promoted after half of the deadline": {
			entries: []Entry{entry(fleet.ClassStandard, "b", time.Hour), entry(fleet.ClassInteractive, "a", time.Hour), entry(fleet.ClassStandard, "a", 4*time.Second)},
			after:   2 * time.Second,
			want:    []Ticket{3, 2, 1},
		},
		"promoted by one class only": {
			entries: []Entry{entry(fleet.ClassBatch, "a", 4*time.Second), entry(fleet.ClassInteractive, "a", time.Hour)},
			after:   3 * time.Second,
			want:    []Ticket{2, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(Settings{})
			for _, e := range c.entries {
				_, ok := q.Push(epoch, e)
				require.True(t, ok)
			}
			var got []Ticket
			for q.Len() > 0 {
				e, ok := q.Pop(epoch.Add(c.after), serve)
				require.True(t, ok)
				got = append(got, e.Ticket)
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against a tenant that gets more than its weighted share by sending many or large requests.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[fleet.TenantID]float64{}
		for i := range rapid.IntRange(2, 5).Draw(t, "tenants") {
			weights[fleet.TenantID(fmt.Sprint("t", i))] = float64(rapid.IntRange(1, 5).Draw(t, "weight"))
		}
		q := New(Settings{Weight: func(id fleet.TenantID) float64 { return weights[id] }})
		served := map[fleet.TenantID]float64{}
		const maxTokens = 400
		for range 600 {
			// Every tenant always has waiting entries.
			for id := range weights {
				for q.classes[2].tenants[id] == nil || len(q.classes[2].tenants[id].waiting) < 3 {
					e := entry(2, id, time.Hour)
					e.Tokens = fleet.Tokens(rapid.IntRange(1, maxTokens).Draw(t, "tokens"))
					_, ok := q.Push(epoch, e)
					require.True(t, ok)
				}
			}
			e, ok := q.Pop(epoch, serve)
			require.True(t, ok)
			served[e.Tenant] += float64(e.Tokens)
		}
		// With start-time fair queueing, the service of two tenants, divided by their weights, differs by at most one largest
		// request of each of them.
		for a, w := range weights {
			for b, v := range weights {
				require.LessOrEqual(t, served[a]/w-served[b]/v, maxTokens/w+maxTokens/v)
			}
		}
	})
}

// Guards against entries of a low class that wait for ever behind a stream of entries of a higher class.
func TestStarvationBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Settings{StarvationEvery: 4, StarvationAfter: time.Second})
		low := rapid.IntRange(1, 10).Draw(t, "low")
		for range low {
			_, _ = q.Push(epoch, entry(fleet.ClassBatch, "low", time.Hour))
		}
		now := epoch
		pops := 0
		for left := low; left > 0; {
			_, _ = q.Push(now, Entry{Class: fleet.ClassCritical, Tenant: "high", Tokens: 1, Deadline: now.Add(time.Minute)})
			now = now.Add(100 * time.Millisecond)
			e, ok := q.Pop(now, serve)
			require.True(t, ok)
			if e.Tenant == "low" {
				left--
			}
			if !now.Before(epoch.Add(time.Second)) {
				pops++
			}
			require.LessOrEqual(t, pops, 4*(low-left+1))
		}
	})
}

// Guards against entries that are lost, served twice, kept past their deadline, or counted wrongly.
func TestEntriesAreServedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Settings{Limit: 20})
		now := epoch
		open := map[Ticket]Entry{}
		removeOpen := func(e Entry) {
			require.Contains(t, open, e.Ticket)
			delete(open, e.Ticket)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				e := entry(fleet.Class(rapid.IntRange(-1, 5).Draw(t, "class")), fleet.TenantID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant")), 0)
				e.Deadline = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
				e.Long = rapid.Bool().Draw(t, "long")
				id, ok := q.Push(now, e)
				require.Equal(t, len(open) < 20, ok)
				if ok {
					open[id] = e
				}
			},
			"pop": func(t *rapid.T) {
				skip := rapid.IntRange(0, 3).Draw(t, "skip")
				e, ok := q.Pop(now, func(*Entry) Verdict {
					if skip--; skip >= 0 {
						return Skip
					}
					return Serve
				})
				if ok {
					removeOpen(e)
				}
			},
			"remove": func(t *rapid.T) {
				if e, ok := q.Remove(Ticket(rapid.IntRange(1, 40).Draw(t, "ticket"))); ok {
					removeOpen(e)
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				for _, e := range q.Expired(now) {
					require.False(t, now.Before(e.Deadline))
					removeOpen(e)
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(open), q.Len())
				shorts := 0
				for _, e := range open {
					require.True(t, now.Before(e.Deadline))
					if !e.Long {
						shorts++
					}
				}
				require.Equal(t, shorts, q.ShortCount())
				at, ok := q.NextDue()
				require.Equal(t, len(open) > 0, ok)
				for _, e := range open {
					require.False(t, at.After(e.Deadline), "NextDue is after a deadline")
				}
			},
		})
	})
}

// Guards against long requests that use every slot while short ones wait, and against slots left idle although no short
// request needs them.
func TestLongRule(t *testing.T) {
	for name, c := range map[string]struct{ running, waiting, want int }{
		"no short requests":         {0, 0, 8},
		"few short requests":        {0, 1, 6},
		"short requests need two":   {2, 1, 4},
		"short requests need eight": {8, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var r LongRule
			now := epoch
			for range 200 {
				r.Observe(now, c.running)
				now = now.Add(time.Second)
			}
			require.Equal(t, c.want, r.SlotLimit(now, 8, c.waiting))
		})
	}
}
