package voters

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/disk"
)

// Transport sends messages to other members. Send returns once the messages were passed to the receiver's Group, or with
// an error; raft sends lost messages again.
type Transport interface {
	Send(ctx context.Context, to fleet.HostID, group raft.GroupID, msgs []raft.Message) error
}

// Storage stores the persistent state of a group on a host; disk.Store and disk.Memory implement it. After an error it must
// refuse all further writes.
type Storage interface {
	// Load returns the stored state.
	Load() (raft.PersistedState, error)
	// Save makes a hard state, if not nil, and entries durable; entries replace those from the index of the first one on.
	Save(state *raft.HardState, entries []raft.Entry) error
	// Install makes a received snapshot durable and drops the whole log.
	Install(s raft.Snapshot) error
	// Compact makes a snapshot of the host's own state durable; entries up to keepAfter may be dropped.
	Compact(s raft.Snapshot, keepAfter fleet.Index) error
	// Close closes the storage.
	Close() error
}

var (
	_ Storage = (*disk.Store)(nil)
	_ Storage = (*disk.Memory)(nil)
)

// Defaults of Settings.
const (
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 8 * fleet.MiB
	DefaultKeepEntries     = 1024
	DefaultKeepBytes       = 4 * fleet.MiB
	DefaultSendTimeout     = 500 * time.Millisecond
	DefaultMaxQueued       = 128
)

// Settings configure a Group. Raft.Self, Transport and Machine are required; another zero field means its default.
type Settings struct {
	Group raft.GroupID
	// Raft holds the host's id, the initial voters and the timing; Open sets Storage, and Seed if it is 0.
	Raft raft.Settings
	// Storage is a fresh disk.Memory by default, which is for tests that start a host only once.
	Storage   Storage
	Transport Transport
	Machine   raft.StateMachine
	// Now is the clock for leases, time.Now by default. It must include the time during which the host was suspended;
	// otherwise a leader that resumes considers its expired lease valid.
	Now func() time.Time
	// Log receives log messages; by default none are written.
	Log *zap.Logger
	// SnapshotEntries and SnapshotBytes are the number and size of the entries applied between two snapshots; the bound that
	// is reached first counts.
	SnapshotEntries int
	SnapshotBytes   fleet.Bytes
	// KeepEntries and KeepBytes bound the entries before a snapshot that are kept for members and followers that lag.
	KeepEntries int
	KeepBytes   fleet.Bytes
	// SendTimeout bounds each Send.
	SendTimeout time.Duration
	// MaxQueued bounds the number of messages queued for one member; above it the oldest are dropped.
	MaxQueued int
}

func (s *Settings) setDefaults() {
	s.SnapshotEntries = cmp.Or(s.SnapshotEntries, DefaultSnapshotEntries)
	s.SnapshotBytes = cmp.Or(s.SnapshotBytes, DefaultSnapshotBytes)
	s.KeepEntries = cmp.Or(s.KeepEntries, DefaultKeepEntries)
	s.KeepBytes = cmp.Or(s.KeepBytes, DefaultKeepBytes)
	s.SendTimeout = cmp.Or(s.SendTimeout, DefaultSendTimeout)
	s.MaxQueued = cmp.Or(s.MaxQueued, DefaultMaxQueued)
	s.Log = cmp.Or(s.Log, zap.NewNop())
	if s.Now == nil {
		s.Now = time.Now
	}
}
