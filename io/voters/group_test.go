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

// countingMachine is a state machine that counts its commands and chains their hashes, so that states differ after any
// difference in the commands.
type countingMachine struct{ count, hash uint64 }

func (t *countingMachine) Apply(_ fleet.Index, data []byte) []byte {
	t.count++
	t.hash = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, t.hash), data...))
	return binary.BigEndian.AppendUint64(nil, t.count)
}

func (t *countingMachine) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, t.count), t.hash), nil
}

func (t *countingMachine) Restore(_ fleet.Index, data []byte) error {
	t.count, t.hash = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	return nil
}

// memoryTransport is an in-memory transport with a delay and one-way cuts, over which messages are lost without an error.
type memoryTransport struct {
	mu     sync.Mutex
	delay  time.Duration
	groups map[fleet.HostID]*Group
	cuts   map[[2]fleet.HostID]bool
}

// link is the transport of one host.
type link struct {
	m    *memoryTransport
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

// cluster is a set of hosts that a memoryTransport connects; it must be used inside a synctest bubble.
type cluster struct {
	t         testing.TB
	transport *memoryTransport
	voters    []fleet.HostID
	configure func(*Settings)
	storage   map[fleet.HostID]*disk.Memory
	machine   map[fleet.HostID]*countingMachine
	stops     map[fleet.HostID]func()
	nextID    raft.StorageID
}

func newCluster(t testing.TB, hosts ...fleet.HostID) *cluster {
	c := &cluster{
		t: t, voters: hosts, storage: map[fleet.HostID]*disk.Memory{}, machine: map[fleet.HostID]*countingMachine{},
		stops: map[fleet.HostID]func(){},
		transport: &memoryTransport{
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
	c.machine[h] = &countingMachine{}
	cfg := Settings{
		Raft: raft.Settings{Self: h, Voters: c.voters}, Storage: c.storage[h],
		Transport: link{c.transport, h}, Machine: c.machine[h],
	}
	if c.configure != nil {
		c.configure(&cfg)
	}
	g, err := Open(cfg)
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var eg errgroup.Group
	eg.Go(func() error { return g.Run(ctx) })
	c.transport.mu.Lock()
	c.transport.groups[h] = g
	c.transport.mu.Unlock()
	c.stops[h] = func() {
		cancel()
		require.NoError(c.t, eg.Wait())
	}
	return g
}

func (c *cluster) stop(h fleet.HostID) {
	c.transport.mu.Lock()
	delete(c.transport.groups, h)
	c.transport.mu.Unlock()
	c.stops[h]()
	delete(c.stops, h)
}

func (c *cluster) close() {
	for h := range c.stops {
		c.stop(h)
	}
}

// setCut cuts all links from and to a host, or restores them.
func (c *cluster) setCut(h fleet.HostID, on bool) {
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	for _, o := range c.voters {
		c.transport.cuts[[2]fleet.HostID{h, o}] = on
		c.transport.cuts[[2]fleet.HostID{o, h}] = on
	}
}

func (c *cluster) group(h fleet.HostID) *Group {
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	return c.transport.groups[h]
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

// requireSameState waits until the hosts have applied as much as the leader, and requires that their states equal the
// leader's.
func (c *cluster) requireSameState(leader fleet.HostID, hosts ...fleet.HostID) {
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
		c.requireSameState(l, "a", "b", "c")
	})
}

// Guards against a leader that keeps its lease or commits while a partition, which causes no connection error, separates it
// from the other voters, and against other voters that don't elect a new leader meanwhile.
func TestPartitionedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.close()
		old := c.leader()
		c.propose(old, 10)
		c.setCut(old, true)
		at := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, _, err := c.group(old).Propose(ctx, []byte("lost"))
		cancel()
		require.True(t, MayCommit(err), "%v", err)
		next := c.leader(old)
		for time.Since(at) < 5*time.Minute {
			c.propose(next, 1)
			require.False(t, c.group(old).LeaseValid(time.Now()))
			time.Sleep(time.Second)
		}
		require.Equal(t, next, c.leader(old), "the leadership changed although the leader was reachable")
		_, _, err = c.group(old).Propose(t.Context(), []byte("refused"))
		require.ErrorAs(t, err, new(*NotLeader))
		require.ErrorAs(t, c.group(old).Barrier(t.Context()), new(*NotLeader))
		c.setCut(old, false)
		time.Sleep(time.Second)
		require.Equal(t, next, c.leader(), "the returning host disturbed the leader")
		c.requireSameState(next, "a", "b", "c")
		require.Equal(t, next, c.group(old).Status().Leader)
	})
}

// Guards against an election that takes longer than the design's bound of 1.5 s.
func TestRecoveryAfterLeaderDeath(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c", "d", "e")
			defer c.close()
			c.nextID = raft.StorageID(1000 * seed)
			for _, h := range c.voters {
				c.stop(h)
				c.wipe(h)
				c.start(h)
			}
			old := c.leader()
			c.propose(old, 3)
			time.Sleep(time.Duration(seed) * 7 * time.Millisecond)
			c.stop(old)
			at := time.Now()
			next := c.leader()
			took := time.Since(at)
			t.Logf("storage ids from %d: new leader with a lease after %v", 1000*seed+1, took)
			require.Less(t, took, 1500*time.Millisecond)
			c.propose(next, 1)
		})
	}
}

// loseDiskAndReplace empties a host's disk and replaces the host as a voter, as an operator does.
func (c *cluster) loseDiskAndReplace(h fleet.HostID) {
	c.stop(h)
	c.wipe(h)
	c.start(h)
	l := c.leader(h)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	time.Sleep(2 * time.Second)
	require.True(c.t, c.group(h).Status().Refused, "host %s is not refused after it lost its disk", h)
	require.NoError(c.t, c.group(l).Replace(ctx, h))
}

// Guards against a replaced voter that counts for a quorum before it has the data: committed entries must survive when another
// voter fails right after each replacement.
func TestVotersLostInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.close()
		c.propose(c.leader(), 300)
		for _, h := range []fleet.HostID{"a", "b", "c", "a"} {
			c.loseDiskAndReplace(h)
			// The next voter is lost at once, so that the replaced one is needed for a quorum.
			next := map[fleet.HostID]fleet.HostID{"a": "b", "b": "c", "c": "a"}[h]
			c.stop(next)
			l := c.leader()
			c.propose(l, 20)
			c.start(next)
		}
		l := c.leader()
		c.requireSameState(l, "a", "b", "c")
		require.Equal(t, uint64(380), c.machine[l].count)
		require.Equal(t, c.voters, c.group(l).Status().Voters)
	})
}

// Guards against lost entries or a lost snapshot state when all hosts stop at once.
func TestRestartOfAll(t *testing.T) {
	for name, every := range map[string]int{"from the log": 0, "from a snapshot": 70} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.voters = []fleet.HostID{"a", "b", "c"}
				c.configure = func(s *Settings) { s.SnapshotEntries, s.KeepEntries = every, 20 }
				defer c.close()
				for _, h := range c.voters {
					c.wipe(h)
					c.start(h)
				}
				c.propose(c.leader(), 500)
				want := *c.machine[c.leader()]
				for _, h := range c.voters {
					c.stop(h)
				}
				at := time.Now()
				for _, h := range c.voters {
					c.start(h)
				}
				l := c.leader()
				require.Less(t, time.Since(at), 1500*time.Millisecond)
				require.NoError(t, c.group(l).Barrier(t.Context()))
				c.group(l).View(func() { require.Equal(t, want, *c.machine[l]) })
				c.requireSameState(l, c.voters...)
				_, ok := c.group(l).EntriesAfter(0, fleet.MiB)
				require.Equal(t, every == 0, ok, "all entries are kept if and only if no snapshot is taken")
			})
		})
	}
}

// Guards against a lagging host that never catches up once the entries that it lacks are compacted.
func TestSnapshotInstall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.voters = []fleet.HostID{"a", "b", "c"}
		c.configure = func(s *Settings) { s.SnapshotEntries, s.KeepEntries, s.Raft.ChunkSize = 50, 5, 5 }
		defer c.close()
		for _, h := range c.voters {
			c.wipe(h)
			c.start(h)
		}
		l := c.leader()
		laggingHost := map[fleet.HostID]fleet.HostID{"a": "b", "b": "c", "c": "a"}[l]
		c.stop(laggingHost)
		c.propose(l, 200)
		c.start(laggingHost)
		c.requireSameState(l, c.voters...)
		// A host that is not a member follows by a snapshot and the entries after it.
		i, data, err := c.group(laggingHost).Snapshot()
		require.NoError(t, err)
		var follower countingMachine
		require.NoError(t, follower.Restore(i, data))
		for es, ok := c.group(laggingHost).EntriesAfter(i, 100); len(es) > 0; es, ok = c.group(laggingHost).EntriesAfter(i, 100) {
			require.True(t, ok)
			for _, e := range es {
				require.Equal(t, i+1, e.Index)
				i = e.Index
				if e.Kind == raft.EntryCommand {
					follower.Apply(e.Index, e.Data)
				}
			}
		}
		require.Equal(t, *c.machine[l], follower)
	})
}

// Guards against a voter that acknowledges what it couldn't save, and against one that stays leader after its disk failed.
func TestFailedStorage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.close()
		old := c.leader()
		c.propose(old, 5)
		full := disk.ErrFailed.New("no space left on device")
		c.storage[old].Fail(full)
		_, _, err := c.group(old).Propose(t.Context(), []byte("x"))
		require.ErrorIs(t, err, full)
		require.Equal(t, full, c.group(old).Status().Failed)
		require.False(t, c.group(old).LeaseValid(time.Now()))
		next := c.leader()
		require.NotEqual(t, old, next)
		c.propose(next, 5)
		// With a second host stopped there is no quorum: the failed one must not count.
		for _, h := range c.voters {
			if h != old && h != next {
				c.stop(h)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, _, err = c.group(next).Propose(ctx, []byte("y"))
		require.True(t, MayCommit(err), "%v", err)
	})
}

// Guards against a leadership transfer that leaves the group without a leader for an election timeout.
func TestTransferLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.close()
		old := c.leader()
		to := map[fleet.HostID]fleet.HostID{"a": "b", "b": "c", "c": "a"}[old]
		at := time.Now()
		require.NoError(t, c.group(old).TransferLeadership(t.Context(), to))
		require.Equal(t, to, c.leader())
		require.Less(t, time.Since(at), raft.DefaultElectionMin)
	})
}
