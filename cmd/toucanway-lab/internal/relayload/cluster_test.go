package relayload

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/follow"
	"toucanway/io/hosts"
	"toucanway/io/network"
	"toucanway/io/relay"
	"toucanway/io/sessions"
)

const (
	leaderIP         = "10.0.0.1"
	relayIP          = "10.0.1.0"
	otherRegionDelay = 12 * time.Millisecond
)

// cluster is a leader in one region and hosts in one data centre of another region. If useRelay is true, the first host is the
// relay of the others.
type cluster struct {
	t        *testing.T
	net      *memnet.Network
	leader   *leader
	hosts    []*followerHost
	useRelay bool
	stop     func()
}

// followerHost is a host that follows the leader; stop is nil while it does not run.
type followerHost struct {
	ip       string
	follower *follow.Follower
	stop     func()
}

func newCluster(t *testing.T, n int, useRelay bool) *cluster {
	c := &cluster{t: t, leader: newLeader("leader"), useRelay: useRelay}
	c.net = memnet.New(memnet.Settings{Delay: func(from, to netip.Addr) time.Duration {
		if from.String() == leaderIP || to.String() == leaderIP {
			return otherRegionDelay
		}
		return time.Millisecond
	}})
	svc := sessions.New(sessions.Settings{Self: "leader", Group: c.leader, Machine: &c.leader.machine})
	var srv hosts.Server
	svc.Register(&srv)
	hosts.Handle(&srv, hosts.ProcedurePropose, c.leader.handlePropose)
	c.stop = c.run(leaderIP, &srv, svc.Run)
	for i := range n {
		h := &followerHost{ip: fmt.Sprintf("10.0.1.%d", i)}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	time.Sleep(10 * time.Second)
	require.Empty(t, c.hostsWithoutLease(), "all hosts have leases")
	return c
}

// run serves on a host and runs parts until the returned function stops them, as a crash does.
func (c *cluster) run(ip string, srv *hosts.Server, parts ...func(context.Context) error) func() {
	l, err := c.net.Host(ip).Listen(ip + ":1")
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Run(ctx, l) })
	for _, p := range parts {
		g.Go(func() error { return p(ctx) })
	}
	return func() {
		cancel()
		require.NoError(c.t, g.Wait())
	}
}

func (c *cluster) start(h *followerHost) {
	id := fleet.HostID("host-" + h.ip)
	client := hosts.NewClient(id, c.net.Host(h.ip), nil)
	group := hosts.NewGroupClient(client, []hosts.Member{{ID: "leader", Address: leaderIP + ":1"}})
	r := relay.New(group)
	p := &relay.Poller{Client: client, Control: group, Choose: func() (string, bool) {
		return relayIP + ":1", c.useRelay && h.ip != relayIP
	}}
	h.follower = follow.New(follow.Settings{Host: id, Address: h.ip + ":1", Control: group, Poll: p.Poll, OnApplied: r.AddEntries})
	var srv hosts.Server
	r.Register(&srv)
	stop := c.run(h.ip, &srv, r.Run, h.follower.Run)
	h.stop = func() {
		stop()
		client.Close()
	}
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		if h.stop != nil {
			h.stop()
		}
	}
	c.stop()
	// The HTTP library continues dials that no call waits for any more.
	time.Sleep(network.DialTimeout)
}

// hostsWithoutLease returns the addresses of the running hosts that have no lease.
func (c *cluster) hostsWithoutLease() []string {
	var out []string
	for _, h := range c.hosts {
		if h.stop != nil && !h.follower.HasLease(time.Now()) {
			out = append(out, h.ip)
		}
	}
	return out
}

// checkLeases checks for a duration, every 10 ms, that no host has a lease for a session that the leader has closed, or for that
// of an earlier incarnation. It returns the longest time for which each host had no lease.
func (c *cluster) checkLeases(d time.Duration) map[string]time.Duration {
	const step = 10 * time.Millisecond
	longest, current := map[string]time.Duration{}, map[string]time.Duration{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		withoutLease := map[string]bool{}
		for _, ip := range c.hostsWithoutLease() {
			withoutLease[ip] = true
		}
		for _, h := range c.hosts {
			if h.stop == nil {
				continue
			}
			if withoutLease[h.ip] {
				current[h.ip] += step
				longest[h.ip] = max(longest[h.ip], current[h.ip])
				continue
			}
			current[h.ip] = 0
			c.leader.View(func() {
				s, ok := c.leader.machine.State.Session(fleet.HostID("host-" + h.ip))
				require.True(c.t, ok, "%s has a lease on a closed session", h.ip)
				require.Equal(c.t, h.follower.Incarnation(), s.Incarnation)
			})
		}
	}
	return longest
}

// submit commits a change and returns the time until it is acknowledged, which is when each host with a lease has applied it.
func (c *cluster) submit() time.Duration {
	client := hosts.NewClient("operator", c.net.Host("10.0.0.9"), nil)
	defer client.Close()
	data, err := control.Encode(control.Proposal{
		Proposer: control.Proposer{Host: "operator", Incarnation: 1}, Seq: uint64(time.Now().UnixNano()),
		Command: &control.SetReplicaTarget{Model: "m", Count: 1},
	})
	require.NoError(c.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	start := time.Now()
	res, err := hosts.Call[hosts.ProposeRequest, hosts.SubmitResponse](ctx, client, leaderIP+":1", hosts.ProcedureSubmit, &hosts.ProposeRequest{Data: data})
	require.NoError(c.t, err)
	require.Equal(c.t, hosts.StatusOK, res.Status)
	return time.Since(start)
}

// leaderTraffic returns the bytes that hosts other than the relay exchanged with the leader.
func (c *cluster) leaderTraffic() int64 {
	var sum int64
	for _, t := range c.net.Traffic() {
		from, to := t.From.String(), t.To.String()
		if (from == leaderIP || to == leaderIP) && from != relayIP && to != relayIP {
			sum += t.Bytes
		}
	}
	return sum
}

// Guards against hosts behind a relay that lose their leases or receive changes late. It logs their traffic with the leader.
func TestHostsBehindRelayKeepLeases(t *testing.T) {
	for _, useRelay := range []bool{false, true} {
		t.Run(fmt.Sprintf("relays %t", useRelay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 9, useRelay)
				defer c.close()
				before := c.leaderTraffic()
				require.Empty(t, c.checkLeases(20*time.Second))
				// Idle connections still carry heartbeats.
				t.Logf("hosts other than the relay exchanged %d B/s each with the leader", (c.leaderTraffic()-before)/20/8)
				var longest time.Duration
				for range 20 {
					longest = max(longest, c.submit())
					time.Sleep(333 * time.Millisecond)
				}
				t.Logf("longest time until a change was in force everywhere: %s", longest)
				require.Less(t, longest, 4*time.Second)
				require.Empty(t, c.hostsWithoutLease())
			})
		})
	}
}

// Guards against hosts that lose their leases when their relay fails or is paused, and against late answers of a paused relay
// that are mistaken for new ones.
func TestRelayFails(t *testing.T) {
	for name, fail := range map[string]func(c *cluster){
		"fails": func(c *cluster) {
			c.hosts[0].stop()
			c.hosts[0].stop = nil
		},
		// Messages sent before the cut arrive when the link is restored.
		"paused": func(c *cluster) { c.net.Isolate(relayIP) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6, true)
				defer c.close()
				fail(c)
				longest := c.checkLeases(20 * time.Second)
				delete(longest, relayIP)
				require.Empty(t, longest, "the other hosts keep their leases through the leader")
				c.net.Rejoin(relayIP)
				longest = c.checkLeases(20 * time.Second)
				delete(longest, relayIP)
				require.Empty(t, longest)
				require.Empty(t, c.hostsWithoutLease())
			})
		})
	}
}

// Guards against leases that a relay extends while it is cut off from the leader.
func TestRelayCutOffFromLeader(t *testing.T) {
	for name, cutOthers := range map[string]bool{"the relay alone": false, "its hosts as well": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6, true)
				defer c.close()
				for _, h := range c.hosts {
					if h.ip == relayIP || cutOthers {
						c.net.Cut(h.ip, leaderIP)
					}
				}
				c.checkLeases(sessions.Lease)
				if cutOthers {
					require.Len(t, c.hostsWithoutLease(), len(c.hosts), "no lease lasts longer than its length after the cut")
				} else {
					require.Equal(t, []string{relayIP}, c.hostsWithoutLease())
				}
				c.checkLeases(10 * time.Second)
				c.net.RestoreAll()
				c.checkLeases(10 * time.Second)
				require.Empty(t, c.hostsWithoutLease())
			})
		})
	}
}

// Guards against a restarted host that gets the lease of its previous incarnation.
func TestHostBehindRelayRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, true)
		defer c.close()
		h := c.hosts[2]
		last := c.leader.Status().Applied
		h.stop()
		c.start(h)
		c.checkLeases(5 * time.Second)
		require.Empty(t, c.hostsWithoutLease())
		// Incarnations are log indexes: exactly one session was opened.
		require.EqualValues(t, last+1, h.follower.Incarnation())
		c.checkLeases(10 * time.Second)
		require.Empty(t, c.hostsWithoutLease())
	})
}
