package voters

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/disk"
)

// countingLink is a link that counts the encoded bytes sent over it.
type countingLink struct {
	link
	bytes *atomic.Int64
}

func (c countingLink) Send(ctx context.Context, to fleet.HostID, g raft.GroupID, msgs []raft.Message) error {
	b, err := cbor.Marshal(msgs)
	if err != nil {
		return err
	}
	c.bytes.Add(int64(len(b)))
	return c.link.Send(ctx, to, g, msgs)
}

// BenchmarkCommit measures commits of 100 bytes by three voters with disks and an in-memory transport without delay.
func BenchmarkCommit(b *testing.B) {
	for name, callers := range map[string]int{"callers=1": 1, "callers=16": 16, "callers=256": 256} {
		b.Run(name, func(b *testing.B) {
			m := &memoryTransport{groups: map[fleet.HostID]*Group{}, cuts: map[[2]fleet.HostID]bool{}}
			hosts, wireBytes, dir := []fleet.HostID{"a", "b", "c"}, new(atomic.Int64), b.TempDir()
			ctx, cancel := context.WithCancel(context.Background())
			var eg errgroup.Group
			for _, h := range hosts {
				s, err := disk.Open(disk.Settings{Dir: filepath.Join(dir, string(h))})
				require.NoError(b, err)
				g, err := Open(Settings{
					Raft: raft.Settings{Self: h, Voters: hosts}, Storage: s, Machine: &countingMachine{},
					Transport: countingLink{link{m, h}, wireBytes}, SnapshotEntries: 1 << 30, SnapshotBytes: 1 << 40,
				})
				require.NoError(b, err)
				m.groups[h] = g
			}
			for _, g := range m.groups {
				eg.Go(func() error { return g.Run(ctx) })
			}
			var leader *Group
			for _, g := range m.groups {
				require.NoError(b, g.WaitApplied(ctx, 0))
				if g.LeaseValid(time.Now()) {
					leader = g
				}
			}
			require.NotNil(b, leader)
			wireBytes.Store(0)
			before := dirSize(b, dir)
			data := make([]byte, 100)
			b.ResetTimer()
			var callersGroup errgroup.Group
			var next atomic.Int64
			for range callers {
				callersGroup.Go(func() error {
					for next.Add(1) <= int64(b.N) {
						if _, _, err := leader.Propose(ctx, data); err != nil {
							return err
						}
					}
					return nil
				})
			}
			require.NoError(b, callersGroup.Wait())
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(wireBytes.Load())/float64(b.N), "wire-B/commit")
			b.ReportMetric(float64(dirSize(b, dir)-before)/float64(b.N), "disk-B/commit")
			cancel()
			require.NoError(b, eg.Wait())
		})
	}
}

// dirSize returns the size of the files below a directory.
func dirSize(b *testing.B, dir string) int64 {
	var size int64
	for _, pattern := range []string{"*/wal-*", "*/snapshot-*"} {
		names, err := filepath.Glob(filepath.Join(dir, pattern))
		require.NoError(b, err)
		for _, n := range names {
			st, err := os.Stat(n)
			require.NoError(b, err)
			size += st.Size()
		}
	}
	return size
}
