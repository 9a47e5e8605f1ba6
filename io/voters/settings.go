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

// Transport carries messages to other members. Send returns once the messages are handed to the receiver's Group, or
// with an error; lost messages are sent again by raft.
type Transport interface {
	Send(ctx context.Context, to fleet.HostID, group raft.GroupID, msgs []raft.Message) error
}

// Storage keeps what a host must not forget; disk.Store and disk.Memory implement it. After an error it must refuse all
// further writes.
type Storage interface {
	// Load returns what is stored.
	Load() (raft.Saved, error)
	// Save makes a hard state, if not nil, and entries durable; entries replace those from the first one's index on.
	Save(state *raft.HardState, entries []raft.Entry) error
	// Install makes a received snapshot durable and drops the whole log.
	Install(s raft.Snapshot) error
	// Compact makes a snapshot of the host's own state durable; entries up to keepAfter may go.
	Compact(s raft.Snapshot, keepAfter fleet.Index) error
	// Close ends the use of the storage.
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
	DefaultQueue           = 128
)

// Settings configure a Group. Self, Transport and Machine are required; another zero field means its default.
type Settings struct {
	Group raft.GroupID
	// Raft holds the host's id, the first voters and the timing; Open fills in Storage, and Seed if it is 0.
	Raft raft.Settings
	// Storage is a fresh disk.Memory by default, which is for tests that start a host only once.
	Storage   Storage
	Transport Transport
	Machine   raft.StateMachine
	// Now is the clock of the leases, time.Now by default. It must count the time in which the host was suspended, or a
	// leader that wakes up takes its old lease for valid.
	Now func() time.Time
	// Log is silent by default.
	Log *zap.Logger
	// SnapshotEntries and SnapshotBytes are how much is applied between two snapshots.
	SnapshotEntries int
	SnapshotBytes   fleet.Bytes
	// KeepEntries and KeepBytes are how much of the log stays behind a snapshot for members and followers that lag.
	KeepEntries int
	KeepBytes   fleet.Bytes
	// SendTimeout bounds each Send.
	SendTimeout time.Duration
	// Queue bounds the messages that wait for one member; above it the oldest are dropped.
	Queue int
}

func (s *Settings) setDefaults() {
	s.SnapshotEntries = cmp.Or(s.SnapshotEntries, DefaultSnapshotEntries)
	s.SnapshotBytes = cmp.Or(s.SnapshotBytes, DefaultSnapshotBytes)
	s.KeepEntries = cmp.Or(s.KeepEntries, DefaultKeepEntries)
	s.KeepBytes = cmp.Or(s.KeepBytes, DefaultKeepBytes)
	s.SendTimeout = cmp.Or(s.SendTimeout, DefaultSendTimeout)
	s.Queue = cmp.Or(s.Queue, DefaultQueue)
	s.Log = cmp.Or(s.Log, zap.NewNop())
	if s.Now == nil {
		s.Now = time.Now
	}
}
