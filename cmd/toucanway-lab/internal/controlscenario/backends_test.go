package controlscenario

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
)

// formed starts three controllers with a configuration.
func formed(t *testing.T) *world {
	w := newWorld()
	require.NoError(t, form(w, []string{"3"}, map[string]string{"seeds": "h1,h2,h3"}))
	require.NoError(t, awaitVoters(w, []string{"3"}, nil))
	require.NoError(t, submit(w, []string{"1"}, map[string]string{"via": "h1"}))
	return w
}

func beat(id fleet.BackendID, inc fleet.Incarnation, seq uint64, address string) registry.Heartbeat {
	return registry.Heartbeat{
		Instance: registry.Instance{ID: id, Incarnation: inc, Service: service, Address: address}, Seq: seq, Engine: true,
	}
}

// send sends a heartbeat to any host that takes it.
func send(t *testing.T, w *world, h registry.Heartbeat) string {
	for range 100 {
		for _, host := range w.hosts {
			if host.control == nil {
				continue
			}
			if next, err := host.control.Heartbeat(context.Background(), h); err == nil {
				return next
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.FailNow(t, "no host takes the heartbeat")
	return ""
}

// follow reads the registry as a gateway does.
func follow(t *testing.T, w *world) map[fleet.BackendID]registry.Instance {
	client := hosts.NewClient("10.9.9.9", w.net.Host("10.9.9.9"), nil)
	defer client.Close()
	c := controlapi.NewClient(client, port, func() []fleet.HostID { return []fleet.HostID{w.hosts[0].ip, w.hosts[1].ip, w.hosts[2].ip} })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	res, err := controlapi.Call[controlapi.FollowRequest, controlapi.FollowResponse](ctx, c, controlapi.ProcedureFollow, 0, &controlapi.FollowRequest{})
	require.NoError(t, err)
	out := map[fleet.BackendID]registry.Instance{}
	for _, in := range res.Instances {
		out[in.ID] = in
	}
	return out
}

// want makes the leader hear of requests that wait for a model.
func want(w *world, model fleet.ModelID) {
	client := hosts.NewClient("10.9.9.9", w.net.Host("10.9.9.9"), nil)
	defer client.Close()
	c := controlapi.NewClient(client, port, func() []fleet.HostID { return []fleet.HostID{w.hosts[0].ip, w.hosts[1].ip, w.hosts[2].ip} })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// Without a leader the demand is told again.
	_, _ = controlapi.Call[controlapi.ReportRequest, controlapi.ReportResponse](ctx, c, controlapi.ProcedureReport, 0,
		&controlapi.ReportRequest{Ready: true, Demands: []residency.Demand{
			{Service: service, Target: fleet.Target{Model: model}, Arrivals: 1, Waiting: 1},
		}})
}

// Guards against a heartbeat that is acknowledged by a host whose leader never hears of it, and against a server that stays known
// after another one has taken its address.
func TestHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := formed(t)
		defer finish(t, w)
		for i, h := range w.hosts {
			next, err := h.control.Heartbeat(context.Background(), beat("a", 5, uint64(i+1), "10.0.0.1:80"))
			require.NoError(t, err)
			require.Equal(t, string(h.ip)+":80", next)
		}
		require.Equal(t, registry.Ready, follow(t, w)["a"].State)
		send(t, w, beat("b", 6, 1, "10.0.0.1:80"))
		list := follow(t, w)
		require.Equal(t, registry.Gone, list["a"].State)
		require.Equal(t, registry.Ready, list["b"].State)
		require.NoError(t, w.hosts[2].control.Leave(context.Background(), "b", 0))
		require.Equal(t, registry.Gone, follow(t, w)["b"].State)
	})
}

// Guards against a server that counts as silent although it sends its heartbeats to a host that doesn't lead, against a drain that
// is acknowledged before the leader knows of it, and against one that a new leader doesn't hear of.
func TestHeartbeatsAtFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := formed(t)
		defer finish(t, w)
		l := w.leader()
		f := w.hosts[0]
		if f == l {
			f = w.hosts[1]
		}
		seq := uint64(0)
		beatFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				seq++
				_, err := f.control.Heartbeat(context.Background(), beat("a", 5, seq, "10.0.0.1:80"))
				require.NoError(t, err)
			}
		}
		beatFor(12 * time.Second)
		require.False(t, follow(t, w)["a"].Silent)
		require.NoError(t, kill(w, []string{l.name}, nil))
		require.NoError(t, lead(w, nil, nil))
		time.Sleep(time.Second)
		beatFor(12 * time.Second)
		require.False(t, follow(t, w)["a"].Silent)
		h := beat("a", 5, seq+1, "10.0.0.1:80")
		h.Instance.State = registry.Draining
		_, err := f.control.Heartbeat(context.Background(), h)
		require.NoError(t, err)
		require.Equal(t, registry.Draining, follow(t, w)["a"].State)
	})
}

// Guards against hosts that send long prompts to the same server, since each hears of the others' too late: the leader counts a
// prompt where it has placed it, until the host's next report, and counts no host's own prompts twice.
func TestLeaderPlacesPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := formed(t)
		defer finish(t, w)
		seeds := func() []fleet.HostID { return []fleet.HostID{w.hosts[0].ip, w.hosts[1].ip, w.hosts[2].ip} }
		gateway := func(ip fleet.HostID) *controlapi.Client {
			c := hosts.NewClient(ip, w.net.Host(string(ip)), nil)
			t.Cleanup(c.Close)
			return controlapi.NewClient(c, port, seeds)
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		report := func(c *controlapi.Client, loads ...controlapi.Load) {
			_, err := controlapi.Call[controlapi.ReportRequest, controlapi.ReportResponse](ctx, c, controlapi.ProcedureReport, 0,
				&controlapi.ReportRequest{Ready: true, Loads: loads})
			require.NoError(t, err)
		}
		place := func(c *controlapi.Client) fleet.BackendID {
			res, err := controlapi.Call[controlapi.PlaceRequest, controlapi.PlaceResponse](ctx, c, controlapi.ProcedurePlace, 0,
				&controlapi.PlaceRequest{Offers: []controlapi.Offer{
					{Instance: "a", Cost: 100 * time.Millisecond, PerToken: 30 * time.Microsecond, Tokens: 8000},
					{Instance: "b", Cost: 150 * time.Millisecond, PerToken: 30 * time.Microsecond, Tokens: 8000},
				}})
			require.NoError(t, err)
			return res.Instance
		}
		g1, g2 := gateway("10.9.9.1"), gateway("10.9.9.2")
		require.Empty(t, place(g1), "a host that has not reported is counted nowhere")
		report(g1)
		report(g2)
		require.Equal(t, fleet.BackendID("a"), place(g1))
		require.Equal(t, fleet.BackendID("b"), place(g2), "a reads the other host's prompt")
		require.Equal(t, fleet.BackendID("a"), place(g1), "its own prompt is part of the host's cost")
		report(g1)
		require.Equal(t, fleet.BackendID("a"), place(g2), "the prompts at a have been read")
	})
}

// Guards against a planner that goes on counting an engine whose address another one has taken: its models were never loaded
// elsewhere.
func TestDisplacedEngineHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := formed(t)
		defer finish(t, w)
		send(t, w, beat("a", 5, 1, "10.0.0.1:80"))
		for range 8 {
			want(w, "m0")
			time.Sleep(250 * time.Millisecond)
		}
		n, _ := w.engines.orders("a")
		require.Positive(t, n)
		send(t, w, beat("b", 6, 1, "10.0.0.1:80"))
		for range 8 {
			want(w, "m0")
			time.Sleep(250 * time.Millisecond)
		}
		n, _ = w.engines.orders("b")
		require.Positive(t, n)
	})
}

// Guards against two hosts that order engines in turns, against one that orders with an old token, and against a leader that waits
// although no other host has ordered.
func TestOrdersAfterChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := formed(t)
		defer finish(t, w)
		send(t, w, beat("a", 5, 1, "10.0.0.1:80"))
		seq, model := uint64(1), 0
		turn := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				seq++
				model = 1 - model
				send(t, w, beat("a", 5, seq, "10.0.0.1:80"))
				want(w, models[model].Name)
			}
		}
		began := time.Now()
		turn(2 * time.Second)
		n, first := w.engines.orders("a")
		require.Positive(t, n, "the first leader has not ordered within %v", time.Since(began))
		require.NoError(t, kill(w, []string{"leader"}, nil))
		require.NoError(t, lead(w, nil, nil))
		turn(9 * time.Second)
		_, second := w.engines.orders("a")
		require.NotEqual(t, first, second)
		require.Equal(t, w.leader().ip, second)
	})
}
