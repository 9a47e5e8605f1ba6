package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

var epoch = time.Unix(1_000_000, 0)

const seed = 20261204

// newRouter returns a router with n backend servers b0, b1, ... that each have a replica of model m.
func newRouter(n int, cfg Settings) *Router {
	cfg.Place.Region = "west"
	cfg.Rand = rand.New(rand.NewPCG(seed, 0))
	r := New(cfg)
	var ids []fleet.BackendID
	for i := range n {
		id := fleet.BackendID(fmt.Sprint("b", i))
		ids = append(ids, id)
		r.SetBackend(fleet.Announcement{ID: id, Incarnation: 1, Slots: 8, Place: fleet.Place{Region: "west"}})
	}
	r.SetReplicas("m", ids)
	return r
}

func request(prompt fleet.Tokens) *Request {
	return &Request{
		Target: fleet.Target{Model: "m"}, Tenant: "t", Prompt: prompt,
		Prefixes: []Prefix{{Hash: 2, Length: prompt}, {Hash: 1, Length: prompt / 2}},
	}
}

// countChoices makes n choices and returns how often each backend server was chosen.
func countChoices(t *testing.T, r *Router, now time.Time, q *Request, n int) map[fleet.BackendID]int {
	out := map[fleet.BackendID]int{}
	for range n {
		c, ok := r.Choose(now, q)
		require.True(t, ok)
		out[c.Backend]++
	}
	return out
}

// Guards against inputs of the choice that have no effect or the opposite of the intended one.
func TestChoose(t *testing.T) {
	event := func(seq uint64, evicted bool) fleet.CacheEvent {
		return fleet.CacheEvent{
			Backend: "b2", Incarnation: 1, Seq: seq, Target: fleet.Target{Model: "m"}, Prefix: 2, Length: 8000, Evicted: evicted,
		}
	}
	for name, c := range map[string]struct {
		prepare func(r *Router)
		request *Request
		// least and most bound how many of 1,000 requests b2 gets.
		least, most int
	}{
		"equal servers get similar shares":              {func(*Router) {}, request(8000), 200, 500},
		"server with a cached prefix is preferred":      {func(r *Router) { r.CacheEvent(epoch, event(1, false)) }, request(8000), 1000, 1000},
		"cached prefix of another prompt has no effect": {func(r *Router) { r.CacheEvent(epoch, event(1, false)) }, &Request{Target: fleet.Target{Model: "m"}, Prompt: 8000, Prefixes: []Prefix{{Hash: 9, Length: 8000}}}, 200, 500},
		"evicted prefix has no effect": {func(r *Router) {
			r.CacheEvent(epoch, event(1, false))
			r.CacheEvent(epoch, event(2, true))
		}, request(8000), 200, 500},
		"lost events lower confidence": {func(r *Router) {
			r.CacheEvent(epoch, event(1, false))
			ev := event(40, false)
			ev.Prefix = 77
			r.CacheEvent(epoch, ev)
		}, request(8000), 200, 500},
		"addition that arrives after its eviction has no effect": {func(r *Router) {
			r.CacheEvent(epoch, event(2, true))
			r.CacheEvent(epoch, event(1, false))
		}, request(8000), 200, 500},
		"answer without hits lowers confidence": {func(r *Router) {
			for range 60 {
				r.ObserveAnswer(epoch, "b2", request(8000), 8000, 0)
			}
			// The remaining weight makes b2 the best of three near ties, so that it is drawn and chosen two times in three.
		}, request(8000), 200, 700},
		"server with reported load is avoided": {func(r *Router) {
			r.Report(epoch, fleet.LoadReport{Backend: "b2", Incarnation: 1, Seq: 1, Running: 8, Queued: 4})
		}, request(800), 0, 0},
		"server with own dispatches is avoided": {func(r *Router) {
			for range 12 {
				r.Begin(epoch, "b2")
			}
		}, request(800), 0, 0},
		"server in another region is avoided": {func(r *Router) {
			r.SetBackend(fleet.Announcement{ID: "b2", Incarnation: 1, Slots: 8, Place: fleet.Place{Region: "east"}})
		}, request(100), 0, 0},
		"server with the adapter is preferred": {func(r *Router) {
			r.SetAdapter("b2", fleet.Target{Model: "m", Adapter: "a"}, true)
		}, &Request{Target: fleet.Target{Model: "m", Adapter: "a"}, Prompt: 50}, 1000, 1000},
		"avoided server": {func(*Router) {}, &Request{Target: fleet.Target{Model: "m"}, Avoid: []fleet.BackendID{"b2"}}, 0, 0},
		"removed server": {func(r *Router) { r.RemoveBackend("b2") }, request(100), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(3, Settings{})
			c.prepare(r)
			got := countChoices(t, r, epoch, c.request, 1000)["b2"]
			require.GreaterOrEqual(t, got, c.least)
			require.LessOrEqual(t, got, c.most)
		})
	}
}

// Guards against counting own requests twice because a late report includes them.
func TestLateReportCountsOwnRequestsOnce(t *testing.T) {
	r := newRouter(2, Settings{})
	for i := range 6 {
		r.Begin(epoch.Add(time.Duration(i)*time.Second), "b0")
	}
	now := epoch.Add(7 * time.Second)
	r.Report(now, fleet.LoadReport{Backend: "b0", Incarnation: 1, Seq: 1, Running: 4, Age: 3500 * time.Millisecond})
	require.InDelta(t, 6, r.backends[0].load.estimate(now), 0.01)
}

// Guards against cross-region traffic of a tenant whose budget is used up while its own region serves the model.
func TestRegionBudget(t *testing.T) {
	r := newRouter(2, Settings{RegionBudget: func(fleet.TenantID) fleet.Bytes { return 100 }})
	r.SetBackend(fleet.Announcement{ID: "b1", Incarnation: 1, Slots: 8, Place: fleet.Place{Region: "east"}})
	for range 40 {
		r.Begin(epoch, "b0")
	}
	c, _ := r.Choose(epoch, request(100))
	require.Equal(t, Choice{Backend: "b1", Expected: c.Expected, FirstToken: c.FirstToken, Wait: c.Wait, CrossRegion: true}, c)
	r.Charge(epoch, "t", 2000)
	c, _ = r.Choose(epoch, request(100))
	require.Equal(t, fleet.BackendID("b0"), c.Backend)
	c, _ = r.Choose(epoch.Add(30*time.Second), request(100))
	require.Equal(t, fleet.BackendID("b1"), c.Backend, "the budget is replenished")
}

// observeAll reports two tokens of each backend server within 40 ms, or within five times as long for the slow ones.
func observeAll(r *Router, now time.Time, slow map[int]bool) {
	for i := range r.backends {
		elapsed := 40 * time.Millisecond
		if slow[i] {
			elapsed *= 5
		}
		r.Observe(now, Progress{Backend: r.backends[i].id, Model: "m", Tokens: 2, Elapsed: elapsed})
	}
}

// Guards against full traffic to slow servers, against shifting it away from more than a third of the replicas, and against
// traffic that does not return after recovery.
func TestSlowServers(t *testing.T) {
	for name, c := range map[string]struct{ slow, shifted int }{
		"two of eighteen":   {2, 2},
		"none":              {0, 0},
		"eight of eighteen": {8, 6},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(18, Settings{})
			slow := map[int]bool{}
			var all []fleet.BackendID
			for i := range r.backends {
				all = append(all, r.backends[i].id)
			}
			for i := range c.slow {
				slow[i] = true
			}
			now := epoch
			for range 20 {
				now = now.Add(50 * time.Millisecond)
				observeAll(r, now, slow)
			}
			shifted := 0
			for i := range 18 {
				if w := r.Weight("m", fleet.BackendID(fmt.Sprint("b", i))); w < 1 {
					shifted++
					require.InDelta(t, ProbeShare, w, 0.001)
					require.True(t, slow[i])
				}
			}
			require.Equal(t, c.shifted, shifted)
			if c.slow == 2 {
				got := countChoices(t, r, now, request(100), 20_000)
				require.Positive(t, got["b0"], "probes")
				require.Less(t, got["b0"], 20_000/18/20)
			}
			r.SetReplicas("m", []fleet.BackendID{"b0", "b1", "b8", "b9", "b10", "b11"})
			observeAll(r, now.Add(time.Second), slow)
			left := 0
			for _, id := range []fleet.BackendID{"b0", "b1", "b8", "b9", "b10", "b11"} {
				if r.Weight("m", id) < 1 {
					left++
				}
			}
			require.LessOrEqual(t, left, 2, "a third of the replicas that are left")
			r.SetReplicas("m", all)
			for range 60 {
				now = now.Add(50 * time.Millisecond)
				observeAll(r, now, nil)
			}
			for i := range 18 {
				require.InDelta(t, 1, r.Weight("m", fleet.BackendID(fmt.Sprint("b", i))), 0, "recovered")
			}
		})
	}
}

// Guards against classifying every server as slow for a model whose prefill time differs much from the default.
func TestPrefillIsLearnt(t *testing.T) {
	for name, perToken := range map[string]time.Duration{
		"ten times the default": time.Millisecond, "a tenth": 10 * time.Microsecond,
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(6, Settings{})
			now := epoch
			for i := range 300 {
				now = now.Add(20 * time.Millisecond)
				id := r.backends[i%6].id
				work := time.Duration(200 + 50*(i%9))
				if i == 0 {
					work *= 8
				}
				r.Observe(now, Progress{
					Backend: id, Model: "m", FirstToken: work * perToken, Prompt: fleet.Tokens(work - promptOverhead),
					Tokens: 10, Elapsed: 200 * time.Millisecond,
				})
			}
			c, ok := r.Choose(now, &Request{Target: fleet.Target{Model: "m"}, Prompt: 1000 - promptOverhead})
			require.True(t, ok)
			require.InEpsilon(t, 1000*perToken, c.FirstToken, 0.2)
			for i := range r.backends {
				require.InDelta(t, 1, r.Weight("m", r.backends[i].id), 0)
			}
		})
	}
}

// Guards against an unbounded index: both bounds on prefixes hold, and the index stays consistent.
func TestPrefixesAreBounded(t *testing.T) {
	r := newRouter(4, Settings{Prefixes: 100, BackendPrefixes: 40})
	rnd := rand.New(rand.NewPCG(seed, 1))
	for i := range 5000 {
		r.CacheEvent(epoch, fleet.CacheEvent{
			Backend: r.backends[rnd.IntN(4)].id, Incarnation: 1, Seq: uint64(i + 1), Target: fleet.Target{Model: "m"},
			Prefix: uint64(rnd.IntN(200)), Length: 10, Evicted: rnd.IntN(4) == 0,
		})
		total := 0
		for k := range r.backends {
			require.LessOrEqual(t, r.backends[k].cache.count, 40)
			total += r.backends[k].cache.count
		}
		require.LessOrEqual(t, total, 100)
	}
	for k := range r.backends {
		r.RemoveBackend(r.backends[k].id)
	}
	require.Empty(t, r.prefixes.heads)
}

func BenchmarkChoose(b *testing.B) {
	for name, c := range map[string]struct{ backends, models, replicas, adapters int }{
		"today":  {18, 60, 6, 95},
		"target": {6600, 210, 64, 2100},
	} {
		b.Run(name, func(b *testing.B) {
			r := newRouter(c.backends, Settings{})
			rnd := rand.New(rand.NewPCG(seed, 2))
			for m := range c.models {
				var ids []fleet.BackendID
				for _, i := range rnd.Perm(c.backends)[:c.replicas] {
					ids = append(ids, r.backends[i].id)
				}
				r.SetReplicas(fleet.ModelID(fmt.Sprint("m", m)), ids)
			}
			for i := range r.backends {
				r.Report(epoch, fleet.LoadReport{Backend: r.backends[i].id, Incarnation: 1, Seq: 1, Running: rnd.IntN(8)})
				for k := range 8 {
					r.CacheEvent(epoch, fleet.CacheEvent{
						Backend: r.backends[i].id, Incarnation: 1, Seq: uint64(k + 1), Target: fleet.Target{Model: fleet.ModelID(fmt.Sprint("m", rnd.IntN(c.models)))},
						Prefix: uint64(rnd.IntN(64)), Length: 512,
					})
				}
			}
			targets := make([]Request, 1024)
			for i := range targets {
				m := fleet.ModelID(fmt.Sprint("m", rnd.IntN(c.models)))
				a := fleet.AdapterID(fmt.Sprint("a", rnd.IntN(c.adapters)))
				targets[i] = Request{Target: fleet.Target{Model: m, Adapter: a}, Tenant: "t", Prompt: 2000}
				r.SetAdapter(r.backends[rnd.IntN(c.backends)].id, targets[i].Target, true)
				for k := range 8 {
					targets[i].Prefixes = append(targets[i].Prefixes, Prefix{Hash: uint64(rnd.IntN(64)), Length: fleet.Tokens(2048 - 256*k)})
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, ok := r.Choose(epoch, &targets[i&1023]); !ok {
					b.Fatal("no choice")
				}
				i++
			}
		})
	}
}
