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
	"toucanway/io/relay"
	"toucanway/io/sessions"
)

const (
	leaderIP = "10.0.0.1"
	relayIP  = "10.0.1.0"
	farDelay = 12 * time.Millisecond
)

// cluster is a leader in one region and hosts in one data centre of another, the first of which may relay.
type cluster struct {
	t      *testing.T
	net    *memnet.Network
	leader *leader
	hosts  []*node
	relays bool
	stop   func()
}

type node struct {
	ip       string
	follower *follow.Follower
	stop     func()
}

func newCluster(t *testing.T, n int, relays bool) *cluster {
	c := &cluster{t: t, leader: newLeader("leader"), relays: relays}
	c.net = memnet.New(memnet.Settings{Delay: func(from, to netip.Addr) time.Duration {
		if from.String() == leaderIP || to.String() == leaderIP {
			return farDelay
		}
		return time.Millisecond
	}})
	svc := sessions.New(sessions.Settings{Self: "leader", Group: c.leader, Machine: &c.leader.machine})
	var srv hosts.Server
	svc.Register(&srv)
	hosts.Handle(&srv, hosts.ProcedurePropose, c.leader.propose)
	c.stop = c.run(leaderIP, &srv, svc.Run)
	for i := range n {
		h := &node{ip: fmt.Sprintf("10.0.1.%d", i)}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	time.Sleep(10 * time.Second)
	require.Empty(t, c.without(), "all hosts have leases")
	return c
}

// run serves on a host and returns a function that stops it as a crash does.
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

func (c *cluster) start(h *node) {
	id := fleet.HostID("host-" + h.ip)
	client := hosts.NewClient(id, c.net.Host(h.ip), nil)
	group := hosts.NewGroupClient(client, []hosts.Member{{ID: "leader", Address: leaderIP + ":1"}})
	r := relay.New(group)
	p := &relay.Poller{Client: client, Control: group, Choose: func() (string, bool) {
		return relayIP + ":1", c.relays && h.ip != relayIP
	}}
	h.follower = follow.New(follow.Settings{Host: id, Address: h.ip + ":1", Control: group, Poll: p.Poll, Applied: r.Applied})
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
}

// without returns the running hosts that have no lease.
func (c *cluster) without() []string {
	var out []string
	for _, h := range c.hosts {
		if h.stop != nil && !h.follower.HasLease(time.Now()) {
			out = append(out, h.ip)
		}
	}
	return out
}

// watch lets time pass and checks every 10 ms that no host has a lease on a session that the leader has closed, or on
// that of an earlier life. It returns how long each host was without lease at most.
func (c *cluster) watch(d time.Duration) map[string]time.Duration {
	const step = 10 * time.Millisecond
	worst, cur := map[string]time.Duration{}, map[string]time.Duration{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		without := map[string]bool{}
		for _, ip := range c.without() {
			without[ip] = true
		}
		for _, h := range c.hosts {
			if h.stop == nil {
				continue
			}
			if without[h.ip] {
				cur[h.ip] += step
				worst[h.ip] = max(worst[h.ip], cur[h.ip])
				continue
			}
			cur[h.ip] = 0
			c.leader.View(func() {
				s, ok := c.leader.machine.State.Session(fleet.HostID("host-" + h.ip))
				require.True(c.t, ok, "%s has a lease on a closed session", h.ip)
				require.Equal(c.t, h.follower.Incarnation(), s.Incarnation)
			})
		}
	}
	return worst
}

// submit commits a change and returns the time until every host with a lease has it.
func (c *cluster) submit() time.Duration {
	client := hosts.NewClient("operator", c.net.Host("10.0.0.9"), nil)
	defer client.Close()
	data, err := control.Encode(control.Proposal{
		Proposer: control.Proposer{Host: "operator", Incarnation: 1}, Seq: uint64(time.Now().UnixNano()),
		Command: &control.SetTarget{Model: "m", Count: 1},
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

// sentTo returns the bytes that hosts behind the relay exchanged with the leader.
func (c *cluster) withLeader() int64 {
	var sum int64
	for _, t := range c.net.Traffic() {
		from, to := t.From.String(), t.To.String()
		if (from == leaderIP || to == leaderIP) && from != relayIP && to != relayIP {
			sum += t.Bytes
		}
	}
	return sum
}

// Guards against hosts behind a relay that lose their leases, burden the leader, or get changes late.
func TestRelayServes(t *testing.T) {
	for _, relays := range []bool{false, true} {
		t.Run(fmt.Sprintf("relays %t", relays), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 9, relays)
				defer c.close()
				before := c.withLeader()
				require.Empty(t, c.watch(20*time.Second))
				// Connections without calls still carry heartbeats.
				t.Logf("hosts other than the relay exchanged %d B/s each with the leader", (c.withLeader()-before)/20/8)
				var worst time.Duration
				for range 20 {
					worst = max(worst, c.submit())
					time.Sleep(333 * time.Millisecond)
				}
				t.Logf("longest time until a change was in force everywhere: %s", worst)
				require.Less(t, worst, 4*time.Second)
				require.Empty(t, c.without())
			})
		})
	}
}

// Guards against a relay that dies, or is paused, taking the leases of its hosts with it, and against late answers of a
// paused one being taken for fresh.
func TestRelayFails(t *testing.T) {
	for name, fail := range map[string]func(c *cluster){
		"dies": func(c *cluster) {
			c.hosts[0].stop()
			c.hosts[0].stop = nil
		},
		// What was sent before arrives when the pause is over.
		"paused": func(c *cluster) { c.net.Isolate(relayIP) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6, true)
				defer c.close()
				fail(c)
				without := c.watch(20 * time.Second)
				delete(without, relayIP)
				require.Empty(t, without, "the other hosts keep their leases through the leader")
				c.net.Rejoin(relayIP)
				without = c.watch(20 * time.Second)
				delete(without, relayIP)
				require.Empty(t, without)
				require.Empty(t, c.without())
			})
		})
	}
}

// Guards against leases that a relay keeps alive while it is cut off from the leader.
func TestRelayCutOffFromLeader(t *testing.T) {
	for name, hostsToo := range map[string]bool{"the relay alone": false, "its hosts as well": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6, true)
				defer c.close()
				for _, h := range c.hosts {
					if h.ip == relayIP || hostsToo {
						c.net.Cut(h.ip, leaderIP)
					}
				}
				c.watch(sessions.Lease)
				if hostsToo {
					require.Len(t, c.without(), len(c.hosts), "no lease outlasts the cut by more than its length")
				} else {
					require.Equal(t, []string{relayIP}, c.without())
				}
				c.watch(10 * time.Second)
				c.net.RestoreAll()
				c.watch(10 * time.Second)
				require.Empty(t, c.without())
			})
		})
	}
}

// Guards against a restarted host being given the lease of its past life.
func TestHostBehindRelayRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, true)
		defer c.close()
		h := c.hosts[2]
		last := c.leader.Status().Applied
		h.stop()
		c.start(h)
		c.watch(5 * time.Second)
		require.Empty(t, c.without())
		// Incarnations are log indexes: exactly one session was opened.
		require.EqualValues(t, last+1, h.follower.Incarnation())
		c.watch(10 * time.Second)
		require.Empty(t, c.without())
	})
}
