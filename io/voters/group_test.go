package voters

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/disk"
)

// tally is a state machine that counts its commands and chains their hashes, so that any difference shows.
type tally struct{ count, hash uint64 }

func (t *tally) Apply(_ fleet.Index, data []byte) []byte {
	t.count++
	t.hash = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, t.hash), data...))
	return binary.BigEndian.AppendUint64(nil, t.count)
}

func (t *tally) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, t.count), t.hash), nil
}

func (t *tally) Restore(_ fleet.Index, data []byte) error {
	t.count, t.hash = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	return nil
}

// mesh is an in-memory transport with a delay and silent one-way cuts.
type mesh struct {
	mu     sync.Mutex
	delay  time.Duration
	groups map[fleet.HostID]*Group
	cuts   map[[2]fleet.HostID]bool
}

// link is one host's end of a mesh.
type link struct {
	m    *mesh
	from fleet.HostID
}

func (l link) Send(ctx context.Context, to fleet.HostID, _ raft.GroupID, msgs []raft.Message) error {
	l.m.mu.Lock()
	g, cut, delay := l.m.groups[to], l.m.cuts[[2]fleet.HostID{l.from, to}], l.m.delay
	l.m.mu.Unlock()
	if cut || g == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	g.Receive(l.from, msgs)
	return nil
}

// cluster is a set of hosts on a mesh; it must be used inside a synctest bubble.
type cluster struct {
	t       testing.TB
	mesh    *mesh
	voters  []fleet.HostID
	raft    raft.Settings
	tune    func(*Settings)
	storage map[fleet.HostID]*disk.Memory
	machine map[fleet.HostID]*tally
	stops   map[fleet.HostID]func()
	nextID  raft.StorageID
}

func newCluster(t testing.TB, hosts ...fleet.HostID) *cluster {
	c := &cluster{
		t: t, voters: hosts, storage: map[fleet.HostID]*disk.Memory{}, machine: map[fleet.HostID]*tally{},
		stops: map[fleet.HostID]func(){},
		mesh: &mesh{
			groups: map[fleet.HostID]*Group{}, cuts: map[[2]fleet.HostID]bool{}, delay: 12 * time.Millisecond,
		},
	}
	for _, h := range hosts {
		c.wipe(h)
		c.start(h)
	}
	return c
}

// wipe gives a host an empty disk.
func (c *cluster) wipe(h fleet.HostID) {
	c.nextID++
	c.storage[h] = disk.NewMemory(c.nextID)
}

func (c *cluster) start(h fleet.HostID) *Group {
	c.machine[h] = &tally{}
	set := Settings{
		Raft: raft.Settings{Self: h, Voters: c.voters}, Storage: c.storage[h],
		Transport: link{c.mesh, h}, Machine: c.machine[h],
	}
	if c.tune != nil {
		c.tune(&set)
	}
	g, err := Open(set)
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var eg errgroup.Group
	eg.Go(func() error { return g.Run(ctx) })
	c.mesh.mu.Lock()
	c.mesh.groups[h] = g
	c.mesh.mu.Unlock()
	c.stops[h] = func() {
		cancel()
		require.NoError(c.t, eg.Wait())
	}
	return g
}

func (c *cluster) stop(h fleet.HostID) {
	c.mesh.mu.Lock()
	delete(c.mesh.groups, h)
	c.mesh.mu.Unlock()
	c.stops[h]()
	delete(c.stops, h)
}

func (c *cluster) close() {
	for h := range c.stops {
		c.stop(h)
	}
}

// cut silences all links from and to a host, or restores them.
func (c *cluster) cut(h fleet.HostID, on bool) {
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	for _, o := range c.voters {
		c.mesh.cuts[[2]fleet.HostID{h, o}] = on
		c.mesh.cuts[[2]fleet.HostID{o, h}] = on
	}
}

func (c *cluster) group(h fleet.HostID) *Group {
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	return c.mesh.groups[h]
}

// leader waits for a host that holds a lease, other than those excluded.
func (c *cluster) leader(except ...fleet.HostID) fleet.HostID {
	for range 1000 {
	hosts:
		for h := range c.stops {
			for _, e := range except {
				if h == e {
					continue hosts
				}
			}
			if c.group(h).LeaseValid(time.Now()) {
				return h
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.FailNow(c.t, "no leader within 10 s")
	return ""
}

func (c *cluster) propose(h fleet.HostID, n int) {
	for i := range n {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, _, err := c.group(h).Propose(ctx, fmt.Appendf(nil, "%s-%d", h, i))
		cancel()
		require.NoError(c.t, err)
	}
}

// agree waits until the hosts have applied as much as the leader, and requires equal states.
func (c *cluster) agree(leader fleet.HostID, hosts ...fleet.HostID) {
	want := c.group(leader).Status().Applied
	for _, h := range hosts {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		require.NoError(c.t, c.group(h).WaitApplied(ctx, want-1), "host %s", h)
		cancel()
	}
	synctest.Wait()
	for _, h := range hosts {
		c.group(h).View(func() { require.Equal(c.t, *c.machine[leader], *c.machine[h], "host %s", h) })
	}
}

// Guards against a driver that loses commands or returns another command's result.
func TestPropose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.close()
		l := c.leader()
		for i := range 20 {
			_, res, err := c.group(l).Propose(t.Context(), []byte{byte(i)})
			require.NoError(t, err)
			require.Equal(t, uint64(i+1), binary.BigEndian.Uint64(res))
		}
		require.NoError(t, c.group(l).Barrier(t.Context()))
		c.agree(l, "a", "b", "c")
	})
}
