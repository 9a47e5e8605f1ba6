package controlscenario

import (
	"context"
	"strconv"
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

// startControllers starts three controllers and puts a configuration in force.
func startControllers(t *testing.T) *simulation { return startControllersOf(t, 3) }

// startControllersOf starts a number of controllers and puts version 1 in force.
func startControllersOf(t *testing.T, n int) *simulation {
	w := newSimulation()
	require.NoError(t, form(w, []string{strconv.Itoa(n)}, map[string]string{"seeds": "h1,h2,h3"}))
	require.NoError(t, awaitVoters(w, []string{strconv.Itoa(n)}, nil))
	require.NoError(t, submit(w, []string{"1"}, map[string]string{"via": "h1"}))
	return w
}

func heartbeat(id fleet.BackendID, inc fleet.Incarnation, seq uint64, address string) registry.Heartbeat {
	return registry.Heartbeat{
		Instance: registry.Instance{ID: id, Incarnation: inc, Service: service, Address: address}, Seq: seq, Engine: true,
	}
}

// sendHeartbeat sends a heartbeat to any host that accepts it.
func sendHeartbeat(t *testing.T, w *simulation, h registry.Heartbeat) string {
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
	require.FailNow(t, "no host accepts the heartbeat")
	return ""
}

// readRegistry reads the registry as a gateway does.
func readRegistry(t *testing.T, w *simulation) map[fleet.BackendID]registry.Instance {
	client := hosts.NewClient("10.9.9.9", w.net.Host("10.9.9.9"), nil)
	defer client.Close()
	c := controlapi.NewClient(client, port, w.hostIDs)
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	res, err := controlapi.Call[controlapi.FollowRequest, controlapi.FollowResponse](ctx, c, controlapi.ProcedureFollow, 0, &controlapi.FollowRequest{Direct: true})
	require.NoError(t, err)
	out := map[fleet.BackendID]registry.Instance{}
	for _, in := range res.Instances {
		out[in.ID] = in
	}
	return out
}

// hostIDs returns the ids of all hosts.
func (w *simulation) hostIDs() []fleet.HostID {
	var ids []fleet.HostID
	for _, h := range w.hosts {
		ids = append(ids, h.ip)
	}
	return ids
}

// reportDemand reports to the leader that one request waits for a model.
func reportDemand(w *simulation, model fleet.ModelID) { reportDemandFor(w, service, model) }

// reportDemandFor reports to the leader that a request waits for a model of a service.
func reportDemandFor(w *simulation, s fleet.ServiceID, model fleet.ModelID) {
	client := hosts.NewClient("10.9.9.9", w.net.Host("10.9.9.9"), nil)
	defer client.Close()
	c := controlapi.NewClient(client, port, w.hostIDs)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// The call fails while there is no leader; the demand is reported again.
	_, _ = controlapi.Call[controlapi.ReportRequest, controlapi.ReportResponse](ctx, c, controlapi.ProcedureReport, 0,
		&controlapi.ReportRequest{Ready: true, Demands: []residency.Demand{
			{Service: s, Target: fleet.Target{Model: model}, Arrivals: 1, Waiting: 1},
		}})
}

// reportDemandRepeatedly reports for two seconds that one request waits for a model.
func reportDemandRepeatedly(w *simulation, model fleet.ModelID) {
	for range 8 {
		reportDemand(w, model)
		time.Sleep(250 * time.Millisecond)
	}
}

// Guards against a heartbeat that is acknowledged by a host whose leader never receives it, and against a server that stays
// registered after another one has taken its address.
func TestHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		for i, h := range w.hosts {
			next, err := h.control.Heartbeat(context.Background(), heartbeat("a", 5, uint64(i+1), "10.0.0.1:80"))
			require.NoError(t, err)
			require.Equal(t, string(h.ip)+":80", next)
		}
		require.Equal(t, registry.Ready, readRegistry(t, w)["a"].State)
		sendHeartbeat(t, w, heartbeat("b", 6, 1, "10.0.0.1:80"))
		list := readRegistry(t, w)
		require.Equal(t, registry.Gone, list["a"].State)
		require.Equal(t, registry.Ready, list["b"].State)
		require.NoError(t, w.hosts[2].control.Leave(context.Background(), "b", 0))
		require.Equal(t, registry.Gone, readRegistry(t, w)["b"].State)
	})
}

// Guards against a server that counts as silent although it sends heartbeats to a host that doesn't lead, also after a change of
// the leader, and against a drain that is acknowledged before the leader has recorded it.
func TestHeartbeatsAtFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		leader := w.leader()
		follower := w.hosts[0]
		if follower == leader {
			follower = w.hosts[1]
		}
		seq := uint64(0)
		sendHeartbeatsFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				seq++
				_, err := follower.control.Heartbeat(context.Background(), heartbeat("a", 5, seq, "10.0.0.1:80"))
				require.NoError(t, err)
			}
		}
		sendHeartbeatsFor(12 * time.Second)
		require.False(t, readRegistry(t, w)["a"].Silent)
		require.NoError(t, killHosts(w, []string{leader.name}, nil))
		require.NoError(t, awaitLead(w, nil, nil))
		time.Sleep(time.Second)
		sendHeartbeatsFor(12 * time.Second)
		require.False(t, readRegistry(t, w)["a"].Silent)
		h := heartbeat("a", 5, seq+1, "10.0.0.1:80")
		h.Instance.State = registry.Draining
		_, err := follower.control.Heartbeat(context.Background(), h)
		require.NoError(t, err)
		require.Equal(t, registry.Draining, readRegistry(t, w)["a"].State)
	})
}

// Guards against hosts that send long prompts to the same server because each learns of the others' prompts too late. The leader
// counts a prompt at the server where it has placed it until the host's next report, and counts no host's own prompts twice.
func TestLeaderPlacesPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		gateway := func(ip fleet.HostID) *controlapi.Client {
			c := hosts.NewClient(ip, w.net.Host(string(ip)), nil)
			t.Cleanup(c.Close)
			return controlapi.NewClient(c, port, w.hostIDs)
		}
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		report := func(c *controlapi.Client, loads ...controlapi.Load) {
			_, err := controlapi.Call[controlapi.ReportRequest, controlapi.ReportResponse](ctx, c, controlapi.ProcedureReport, 0,
				&controlapi.ReportRequest{Ready: true, Loads: loads})
			require.NoError(t, err)
		}
		place := func(c *controlapi.Client) fleet.BackendID {
			res, err := controlapi.Call[controlapi.PlaceRequest, controlapi.PlaceResponse](ctx, c, controlapi.ProcedurePlace, 0,
				&controlapi.PlaceRequest{Candidates: []controlapi.Candidate{
					{Instance: "a", Cost: 100 * time.Millisecond, PerToken: 30 * time.Microsecond, Tokens: 8000},
					{Instance: "b", Cost: 150 * time.Millisecond, PerToken: 30 * time.Microsecond, Tokens: 8000},
				}})
			require.NoError(t, err)
			return res.Instance
		}
		g1, g2 := gateway("10.9.9.1"), gateway("10.9.9.2")
		require.Empty(t, place(g1), "a host that has not reported gets no placement")
		report(g1)
		report(g2)
		require.Equal(t, fleet.BackendID("a"), place(g1))
		require.Equal(t, fleet.BackendID("b"), place(g2), "server a processes the other host's prompt")
		require.Equal(t, fleet.BackendID("a"), place(g1), "the host's own prompt is already part of its cost")
		report(g1)
		require.Equal(t, fleet.BackendID("a"), place(g2), "the prompts at server a are processed")
	})
}

// Guards against a planner that still counts the models of an engine whose address another one has taken, and so never loads
// them elsewhere.
func TestModelsOfDisplacedEngineAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		sendHeartbeat(t, w, heartbeat("a", 5, 1, "10.0.0.1:80"))
		reportDemandRepeatedly(w, "m0")
		n, _ := w.engines.orders("a")
		require.Positive(t, n)
		sendHeartbeat(t, w, heartbeat("b", 6, 1, "10.0.0.1:80"))
		reportDemandRepeatedly(w, "m0")
		n, _ = w.engines.orders("b")
		require.Positive(t, n)
	})
}

// Guards against two hosts that send orders to an engine by turns, against orders with a stale fencing token, and against a
// leader that waits for the handover time although no other host has sent orders.
func TestOrdersAfterChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		sendHeartbeat(t, w, heartbeat("a", 5, 1, "10.0.0.1:80"))
		seq, model := uint64(1), 0
		reportAlternatingDemand := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				seq++
				model = 1 - model
				sendHeartbeat(t, w, heartbeat("a", 5, seq, "10.0.0.1:80"))
				reportDemand(w, models[model].Name)
			}
		}
		began := time.Now()
		reportAlternatingDemand(2 * time.Second)
		n, firstSender := w.engines.orders("a")
		require.Positive(t, n, "the first leader has sent no order within %v", time.Since(began))
		require.NoError(t, killHosts(w, []string{"leader"}, nil))
		require.NoError(t, awaitLead(w, nil, nil))
		reportAlternatingDemand(9 * time.Second)
		_, secondSender := w.engines.orders("a")
		require.NotEqual(t, firstSender, secondSender)
		require.Equal(t, w.leader().ip, secondSender)
	})
}

// Guards against an engine that is ordered to load a model for requests of an entry host that no longer exists.
func TestRequestsOfSilentHostNoLongerWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		reportDemand(w, "m0")
		time.Sleep(10 * time.Second)
		for seq := uint64(1); seq <= 5; seq++ {
			sendHeartbeat(t, w, heartbeat("a", 5, seq, "10.0.0.1:80"))
			time.Sleep(time.Second)
		}
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		require.Zero(t, w.engines.state("a").orderCount)
	})
}

// Guards against a controller that does not hear of a new entry host at once, and against gateways that are answered because of one.
func TestControllersHearOfEntryHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		client := hosts.NewClient("10.9.9.8", w.net.Host("10.9.9.8"), nil)
		defer client.Close()
		c := controlapi.NewClient(client, port, w.hostIDs)
		follow := func(at controlapi.Position, entries bool) (controlapi.Position, time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
			defer cancel()
			began := time.Now()
			res, err := controlapi.Call[controlapi.FollowRequest, controlapi.FollowResponse](ctx, c, controlapi.ProcedureFollow, 2*time.Second,
				&controlapi.FollowRequest{Position: at, Hold: 2 * time.Second, Entries: entries, Direct: true})
			require.NoError(t, err)
			return res.Position, time.Since(began)
		}
		gateway, _ := follow(controlapi.Position{}, false)
		controller, _ := follow(controlapi.Position{}, true)
		go func() {
			time.Sleep(500 * time.Millisecond)
			reportDemand(w, "m0")
		}()
		_, took := follow(controller, true)
		require.Less(t, took, time.Second)
		_, took = follow(gateway, false)
		require.GreaterOrEqual(t, took, 2*time.Second)
	})
}
