package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

func heartbeat(id fleet.BackendID, inc fleet.Incarnation, seq uint64, change ...func(*Heartbeat)) Heartbeat {
	h := Heartbeat{Instance: Instance{ID: id, Incarnation: inc, Service: "s", Address: "10.0.0.1:80"}, Seq: seq}
	for _, f := range change {
		f(&h)
	}
	return h
}

func atAddress(address string) func(*Heartbeat) {
	return func(h *Heartbeat) { h.Instance.Address = address }
}

func draining(h *Heartbeat) { h.Instance.State = Draining }

// Guards against late, duplicate and reordered heartbeats that revive an ended incarnation or revert its state.
func TestObserve(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		before []Heartbeat
		leave  bool
		last   Heartbeat
		want   Verdict
		state  State
	}{
		"first":                           {nil, false, heartbeat("a", 5, 1), Changed, Ready},
		"renewal":                         {[]Heartbeat{heartbeat("a", 5, 1)}, false, heartbeat("a", 5, 2), Unchanged, Ready},
		"sent twice":                      {[]Heartbeat{heartbeat("a", 5, 2)}, false, heartbeat("a", 5, 2), Outdated, Ready},
		"out of order":                    {[]Heartbeat{heartbeat("a", 5, 3, draining)}, false, heartbeat("a", 5, 2), Outdated, Draining},
		"draining reverted":               {[]Heartbeat{heartbeat("a", 5, 3, draining)}, false, heartbeat("a", 5, 4), Unchanged, Draining},
		"earlier incarnation":             {[]Heartbeat{heartbeat("a", 5, 1)}, false, heartbeat("a", 4, 9), Outdated, Ready},
		"later incarnation, lower number": {[]Heartbeat{heartbeat("a", 5, 9, draining)}, false, heartbeat("a", 6, 1), Changed, Ready},
		"after leaving":                   {[]Heartbeat{heartbeat("a", 5, 1)}, true, heartbeat("a", 5, 2), Outdated, Gone},
		"new incarnation after leaving":   {[]Heartbeat{heartbeat("a", 5, 1)}, true, heartbeat("a", 6, 1), Changed, Ready},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			for _, h := range tt.before {
				r.Observe(now, h)
			}
			if tt.leave {
				require.True(t, r.Depart(now, Instance{ID: "a", Incarnation: 5, State: Gone}))
			}
			require.Equal(t, tt.want, r.Observe(now, tt.last))
			in, _, ok := r.Get("a")
			require.True(t, ok)
			require.Equal(t, tt.state, in.State)
		})
	}
}

// Guards against a late heartbeat of a crashed server that displaces the server which has been started at its address.
func TestAddressTakenOver(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{})
	r.Observe(now, heartbeat("old", 5, 1))
	require.Equal(t, Changed, r.Observe(now, heartbeat("new", 8, 1)))
	in, _, _ := r.Get("old")
	require.Equal(t, Gone, in.State)
	require.Equal(t, Outdated, r.Observe(now, heartbeat("old", 5, 2)), "the displaced instance was revived")
	require.Equal(t, Outdated, r.Observe(now, heartbeat("older", 7, 1)), "an unknown older instance took the address")
	in, _, _ = r.Get("new")
	require.Equal(t, Ready, in.State)
}

// Guards against a heartbeat that reverts the effect of an order carried out after the heartbeat was sent.
func TestHeartbeatKeepsModels(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{})
	with := func(m fleet.ModelID) func(*Heartbeat) {
		return func(h *Heartbeat) { h.Engine, h.Instance.Models = true, []Model{{Name: m}} }
	}
	r.Observe(now, heartbeat("a", 5, 1, with("x")))
	require.True(t, r.SetModels("a", 5, []Model{{Name: "y"}}))
	require.Equal(t, Unchanged, r.Observe(now, heartbeat("a", 5, 2, with("x"))))
	in, _, _ := r.Get("a")
	require.Equal(t, []Model{{Name: "y"}}, in.Models)
	require.False(t, r.SetModels("a", 4, nil), "models of an earlier incarnation were changed")
}

// Guards against a silent server that is removed immediately, and against an entry that is kept forever.
func TestSilentServers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{SilenceTimeout: time.Second, Retention: time.Minute})
	r.Observe(now, heartbeat("a", 5, 1))
	require.Empty(t, r.Tick(now.Add(time.Second)))
	require.Equal(t, []fleet.BackendID{"a"}, r.Tick(now.Add(2*time.Second)))
	require.Empty(t, r.Tick(now.Add(3*time.Second)), "reported twice")
	require.Equal(t, Changed, r.Observe(now.Add(4*time.Second), heartbeat("a", 5, 2)))
	in, _, _ := r.Get("a")
	require.False(t, in.Silent)
	r.Tick(now.Add(5 * time.Minute))
	_, _, ok := r.Get("a")
	require.False(t, ok)
}

// Guards against an unbounded registry: heartbeats of more and more servers would exhaust the memory.
func TestRegistryIsBounded(t *testing.T) {
	r := New(Settings{MaxInstances: 2})
	now := time.Unix(1000, 0)
	for i, want := range []Verdict{Changed, Changed, Full} {
		require.Equal(t, want, r.Observe(now, heartbeat(fleet.BackendID(fmt.Sprint(i)), 1, 1, atAddress(fmt.Sprintf("10.0.0.%d:80", i)))))
	}
}

// Guards against a follower whose state differs from the leader's after it has fetched changes at arbitrary times.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Unix(1000, 0)
		leader := New(Settings{})
		follower := map[fleet.BackendID]Instance{}
		var seen uint64
		for range 200 {
			id := fleet.BackendID(fmt.Sprint(rnd.IntN(5)))
			inc := fleet.Incarnation(1 + rnd.IntN(4))
			switch rnd.IntN(8) {
			case 0:
				leader.Depart(now, Instance{ID: id, Incarnation: inc, State: Gone})
			case 1:
				leader.SetModels(id, inc, []Model{{Name: fleet.ModelID(fmt.Sprint(rnd.IntN(3)))}})
			case 2:
				for _, in := range leader.ChangedAfter(seen) {
					follower[in.ID] = in
				}
				seen = leader.Revision()
			default:
				h := heartbeat(id, inc, uint64(rnd.IntN(50)), atAddress(fmt.Sprintf("10.0.0.%d:80", rnd.IntN(4))))
				h.Instance.State = State(rnd.IntN(2))
				leader.Observe(now, h)
			}
		}
		for _, in := range leader.ChangedAfter(seen) {
			follower[in.ID] = in
		}
		for _, in := range leader.ChangedAfter(0) {
			require.Equal(t, in, follower[in.ID])
		}
	})
}

// Guards against a new leader that treats a server as ready which the previous leader knew to be draining.
func TestAdopt(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{})
	r.Observe(now, heartbeat("a", 5, 1))
	in, _, _ := r.Get("a")
	in.State = Draining
	r.Adopt(now, []Instance{in, {ID: "b", Incarnation: 2, Address: "10.0.0.2:80"}})
	got, _, _ := r.Get("a")
	require.Equal(t, Draining, got.State)
	r.Adopt(now, []Instance{{ID: "a", Incarnation: 4, Address: "10.0.0.1:80"}})
	got, _, _ = r.Get("a")
	require.Equal(t, fleet.Incarnation(5), got.Incarnation)
	_, _, ok := r.Get("b")
	require.True(t, ok)
}

// Guards against a new leader that marks all servers as silent because only the previous leader received their heartbeats.
func TestRestartSilenceTimeouts(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{SilenceTimeout: time.Second})
	r.Adopt(now, []Instance{{ID: "a", Incarnation: 1, Address: "10.0.0.1:80"}, {ID: "b", Incarnation: 1, Address: "10.0.0.2:80", Silent: true}})
	later := now.Add(time.Minute)
	r.RestartSilenceTimeouts(later)
	require.Empty(t, r.Tick(later.Add(time.Second)))
	in, _, _ := r.Get("b")
	require.False(t, in.Silent)
	require.ElementsMatch(t, []fleet.BackendID{"a", "b"}, r.Tick(later.Add(2*time.Second)))
}

// Guards against a server that counts as silent although another host receives its heartbeats, and against a late heartbeat of an
// earlier incarnation.
func TestRenew(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{SilenceTimeout: time.Second})
	r.Observe(now, heartbeat("a", 5, 1))
	require.True(t, r.Renew(now.Add(900*time.Millisecond), "a", 5, 2))
	require.Empty(t, r.Tick(now.Add(1800*time.Millisecond)))
	require.False(t, r.Renew(now, "a", 4, 9))
	require.False(t, r.Renew(now, "b", 5, 9))
	require.Len(t, r.Tick(now.Add(3*time.Second)), 1)
	require.True(t, r.Renew(now.Add(3*time.Second), "a", 5, 2), "a late heartbeat of a known incarnation")
	in, _, _ := r.Get("a")
	require.True(t, in.Silent)
	require.True(t, r.Renew(now.Add(3*time.Second), "a", 5, 3))
	in, _, _ = r.Get("a")
	require.False(t, in.Silent)
	require.Equal(t, Outdated, r.Observe(now, heartbeat("a", 5, 3)))
}

// Guards against a follower that misses changes when more changes were made than are kept, or when it asks from the middle of the
// kept ones.
func TestChangedAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{})
	for i := range 3 * maxChanges {
		id := fleet.BackendID(fmt.Sprint("b", i%50))
		r.Observe(now, heartbeat(id, fleet.Incarnation(i/50+1), 1, atAddress(fmt.Sprintf("10.0.0.%d:80", i%50))))
	}
	last := r.Revision()
	require.Empty(t, r.ChangedAfter(last))
	require.Len(t, r.ChangedAfter(last-10), 10)
	require.Len(t, r.ChangedAfter(0), 50)
	require.Len(t, r.ChangedAfter(last-uint64(maxChanges)*2), 50)
	for i, in := range r.ChangedAfter(last - 30) {
		require.Equal(t, last-29+uint64(i), in.Revision)
	}
}

// Guards against a drain that marks another incarnation than the one that leaves, or that a later heartbeat reverts.
func TestDrain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Settings{})
	require.False(t, r.Drain("a", 5), "unknown")
	require.Equal(t, Changed, r.Observe(now, heartbeat("a", 5, 1)))
	require.False(t, r.Drain("a", 4))
	require.False(t, r.Drain("a", 6))
	require.True(t, r.Drain("a", 5))
	require.False(t, r.Drain("a", 5), "known already")
	list := r.ChangedAfter(1)
	require.Len(t, list, 1)
	require.Equal(t, Draining, list[0].State)
	require.Equal(t, Unchanged, r.Observe(now, heartbeat("a", 5, 2)))
	in, _, _ := r.Get("a")
	require.Equal(t, Draining, in.State)
	require.Equal(t, Changed, r.Observe(now, heartbeat("a", 6, 1)))
	in, _, _ = r.Get("a")
	require.Equal(t, Ready, in.State)
	require.True(t, r.Depart(now, Instance{ID: "a", Incarnation: 6, State: Gone}))
	require.False(t, r.Drain("a", 6), "gone")
}
