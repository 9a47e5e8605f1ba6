package controlapi_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
	"toucanway/io/network"
)

// group is a fake control group on loopback addresses that share a port.
type group struct {
	members []fleet.HostID
	port    uint16
	// leader is the index of the member that leads, -1 for none.
	leader atomic.Int32
	// calls is the number of calls that have reached a member.
	calls atomic.Int64
	// stall keeps the members from answering Leave calls while it is locked.
	stall sync.Mutex
}

func newGroup(t *testing.T) *group { return newGroupOf(t, 3) }

func newGroupOf(t *testing.T, members int) *group {
	t.Helper()
	g := &group{}
	g.leader.Store(-1)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range members {
		ip := "127.0.0." + strconv.Itoa(i+1)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(int(g.port))))
		require.NoError(t, err)
		g.port = uint16(l.Addr().(*net.TCPAddr).Port)
		g.members = append(g.members, fleet.HostID(ip))
		srv := &hosts.Server{}
		reply := func() controlapi.Reply {
			g.calls.Add(1)
			if g.leader.Load() == int32(i) {
				return controlapi.Reply{}
			}
			r := controlapi.Reply{Status: hosts.StatusNotLeader}
			if l := g.leader.Load(); l >= 0 {
				r.Leader = g.members[l]
			}
			return r
		}
		hosts.Handle(srv, controlapi.ProcedureLead, func(context.Context, fleet.HostID, *controlapi.LeadRequest) (*controlapi.LeadResponse, error) {
			return &controlapi.LeadResponse{Reply: reply()}, nil
		})
		hosts.Handle(srv, controlapi.ProcedureLeave, func(context.Context, fleet.HostID, *controlapi.LeaveRequest) (*controlapi.HeartbeatResponse, error) {
			g.stall.Lock()
			defer g.stall.Unlock()
			return &controlapi.HeartbeatResponse{Reply: reply()}, nil
		})
		wg.Go(func() { _ = srv.Run(ctx, l) })
	}
	return g
}

func (g *group) client(seeds ...fleet.HostID) *controlapi.Client {
	return controlapi.NewClient(hosts.NewClient("127.0.0.9", network.TCP{}, nil), g.port, func() []fleet.HostID { return seeds })
}

func leave(ctx context.Context, c *controlapi.Client) error {
	_, err := controlapi.Call[controlapi.LeaveRequest, controlapi.HeartbeatResponse](ctx, c, controlapi.ProcedureLeave, 0, &controlapi.LeaveRequest{})
	return err
}

// Guards against a call storm: if each waiting call of a large deployment asks every member for the leader by itself, the members
// are too busy to elect one.
func TestSearchIsShared(t *testing.T) {
	g := newGroup(t)
	c := g.client(g.members...)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() { assert.ErrorContains(t, leave(ctx, c), "no host answered as leader") })
	}
	wg.Wait()
	assert.Less(t, g.calls.Load(), int64(60), "calls that reached members while none led")
}

// Guards against a call storm: hundreds of hosts that lose the leader at once and ask every member in each round keep the members
// from answering any of them.
func TestSearchAsksFewMembersInEachRound(t *testing.T) {
	g := newGroupOf(t, 9)
	c := g.client(g.members...)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, leave(ctx, c), "no host answered as leader")
	// Rounds are at least 60 ms apart.
	assert.LessOrEqual(t, g.calls.Load(), int64(3*7))
	g.leader.Store(7)
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, leave(ctx, c), "a member that is asked names the leader")
}

// Guards against calls that keep going to a former leader, and against a search that doesn't find the new leader.
func TestFindsNextLeader(t *testing.T) {
	g := newGroup(t)
	c := g.client(g.members...)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, i := range []int32{2, 0, 1} {
		g.leader.Store(i)
		require.NoError(t, leave(ctx, c))
		assert.Equal(t, g.members[i], c.Leader())
	}
	g.leader.Store(-1)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { assert.NoError(t, leave(ctx, c)) })
	}
	time.Sleep(100 * time.Millisecond)
	g.leader.Store(2)
	wg.Wait()
	assert.Equal(t, g.members[2], c.Leader())
}

// Guards against a client that never finds a leader that is not among its seeds, since it joined after they were written.
func TestFindsLeaderOutsideSeeds(t *testing.T) {
	g := newGroup(t)
	g.leader.Store(2)
	c := g.client(g.members[0], g.members[1])
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	require.NoError(t, leave(ctx, c))
	assert.Equal(t, g.members[2], c.Leader())
}

// Guards against hosts that search for the leader, whose other calls it answers, since a call with a short timeout was given up.
func TestShortTimeoutKeepsLeader(t *testing.T) {
	g := newGroup(t)
	g.leader.Store(1)
	c := g.client(g.members...)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, leave(ctx, c))
	g.stall.Lock()
	short, cancelShort := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancelShort()
	require.Error(t, leave(short, c))
	g.stall.Unlock()
	require.Equal(t, g.members[1], c.Leader())
}
