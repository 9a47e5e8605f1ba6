package disk

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("disk")

// Types of errors.
var (
	// ErrCorrupt reports files that are damaged or missing; the message says how to recover.
	ErrCorrupt = Errors.NewType("corrupt")
	// ErrFailed reports a failed file operation; the store refuses all further calls.
	ErrFailed = Errors.NewType("failed")
	// ErrInUse reports a directory that another process uses.
	ErrInUse = Errors.NewType("in-use")
)

// DefaultSegmentSize is the size after which a new segment begins.
const DefaultSegmentSize = 8 * fleet.MiB

// Settings configure a Store; a zero field other than Dir means its default.
type Settings struct {
	Dir string
	// NewStorageID is the storage id that an empty directory gets; by default a random one.
	NewStorageID raft.StorageID
	SegmentSize  fleet.Bytes
	// FS is OS by default.
	FS FS
}

// Store is an open directory. Its methods are safe for concurrent use.
type Store struct {
	cfg  Settings
	lock io.Closer
	dec  cbor.DecMode

	mu        sync.Mutex
	failed    error
	saved     raft.PersistedState
	segments  []segment
	file      File
	size      int
	lastIndex fleet.Index
}

// segment is one file of the log.
type segment struct {
	number uint64
	// maxIndex is the highest entry index in the segment, or the last index before it while it has no entry.
	maxIndex fleet.Index
}

// Open opens a directory, creates it if it doesn't exist, reads and checks its files and removes a torn frame at the end of
// the log.
func Open(cfg Settings) (*Store, error) {
	if cfg.FS == nil {
		cfg.FS = OS{}
	}
	if cfg.SegmentSize == 0 {
		cfg.SegmentSize = DefaultSegmentSize
	}
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, ErrFailed.Wrap(err, "data folder %s cannot be created; check its parent's permissions", cfg.Dir)
	}
	dec, err := newDecMode()
	if err != nil {
		return nil, err
	}
	lock, err := cfg.FS.Lock(filepath.Join(cfg.Dir, "lock"))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrInUse.Wrap(err, "data folder %s is in use; stop the other process", cfg.Dir)
	}
	if err != nil {
		return nil, ErrFailed.Wrap(err, "data folder %s cannot be locked; check its permissions and free space", cfg.Dir)
	}
	s := &Store{cfg: cfg, lock: lock, dec: dec}
	if err := s.recover(); err != nil {
		// Errors from closing the file and the lock are ignored, since err is the cause.
		_, _ = s.closeFile(), lock.Close()
		return nil, err
	}
	return s, nil
}

// Load returns the state that the directory contained when it was opened. It can be called only once, since the store then
// no longer keeps the entries and the snapshot's data in memory.
func (s *Store) Load() (raft.PersistedState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.saved
	s.saved.Entries, s.saved.Snapshot.Data = nil, nil
	return out, s.failed
}

// Save makes a hard state, if not nil, and entries durable with one write and one sync. Entries replace those from the
// index of the first one on.
func (s *Store) Save(state *raft.HardState, entries []raft.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if fleet.Bytes(s.size) >= s.cfg.SegmentSize {
		if err := s.startSegment(segmentHeader{PrevIndex: s.lastIndex}); err != nil {
			return s.fail(err)
		}
	}
	if err := s.writeRecord(record{State: state, Entries: entries}); err != nil {
		return s.fail(err)
	}
	return nil
}

// Install makes a received snapshot durable and drops the whole log.
func (s *Store) Install(snap raft.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if err := s.writeSnapshot(&snap); err != nil {
		return s.fail(err)
	}
	if err := s.startSegment(segmentHeader{PrevIndex: snap.Index, Reset: true}); err != nil {
		return s.fail(err)
	}
	if err := s.dropSegments(len(s.segments) - 1); err != nil {
		return s.fail(err)
	}
	return nil
}

// Compact makes a snapshot of the host's own state durable and drops old segments whose entries are all at or before
// keepAfter.
func (s *Store) Compact(snap raft.Snapshot, keepAfter fleet.Index) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if err := s.writeSnapshot(&snap); err != nil {
		return s.fail(err)
	}
	keepAfter = min(keepAfter, snap.Index)
	k := 0
	for k < len(s.segments)-1 && s.segments[k].maxIndex <= keepAfter {
		k++
	}
	if err := s.dropSegments(k); err != nil {
		return s.fail(err)
	}
	return nil
}

// Close closes the log and releases the lock of the directory.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = ErrFailed.New("the store is closed")
	}
	err := errors.Join(s.closeFile(), s.lock.Close())
	return err
}

func (s *Store) closeFile() error {
	if s.file == nil {
		return nil
	}
	err := s.file.Close()
	s.file = nil
	return err
}

func (s *Store) fail(err error) error {
	s.failed = ErrFailed.Wrap(err, "data folder %s cannot be read or written; free space or replace the disk; the store is not used before it can be opened again",
		s.cfg.Dir)
	return s.failed
}

func (s *Store) path(name string) string { return filepath.Join(s.cfg.Dir, name) }

func segmentName(number uint64) string { return fmt.Sprintf("wal-%016x.log", number) }

func snapshotName(i fleet.Index) string { return fmt.Sprintf("snapshot-%016x", uint64(i)) }

// writeRecord appends a frame to the last segment and syncs it.
func (s *Store) writeRecord(r record) error {
	seg := &s.segments[len(s.segments)-1]
	b, err := encodeFrame(framePosition{s.saved.Storage, seg.number, s.size}, r)
	if err != nil {
		return err
	}
	if _, err := s.file.Write(b); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.size += len(b)
	if r.State != nil {
		s.saved.State = *r.State
	}
	if k := len(r.Entries); k > 0 {
		s.lastIndex = r.Entries[k-1].Index
		seg.maxIndex = max(seg.maxIndex, s.lastIndex)
	}
	return nil
}

// startSegment creates a new segment, to which later records are appended.
func (s *Store) startSegment(h segmentHeader) error {
	number := uint64(1)
	if k := len(s.segments); k > 0 {
		number = s.segments[k-1].number + 1
	}
	f, err := s.cfg.FS.Create(s.path(segmentName(number)))
	if err != nil {
		return err
	}
	if err := s.closeFile(); err != nil {
		return errors.Join(err, f.Close())
	}
	s.file, s.size, s.lastIndex = f, 0, h.PrevIndex
	s.segments = append(s.segments, segment{number, h.PrevIndex})
	state := s.saved.State
	if err := s.writeRecord(record{State: &state, Header: &h}); err != nil {
		return err
	}
	return s.cfg.FS.SyncDir(s.cfg.Dir)
}

// dropSegments removes the k oldest segments. Each removal is made durable before the next one, so that a crash leaves no
// gap in the log.
func (s *Store) dropSegments(k int) error {
	for range k {
		if err := s.cfg.FS.Remove(s.path(segmentName(s.segments[0].number))); err != nil {
			return err
		}
		if err := s.cfg.FS.SyncDir(s.cfg.Dir); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// writeAtomic writes a file so that after a crash it exists either completely or not at all.
func (s *Store) writeAtomic(name string, b []byte) error {
	tmp := s.path(name + tmpSuffix)
	f, err := s.cfg.FS.Create(tmp)
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.cfg.FS.Rename(tmp, s.path(name)); err != nil {
		return err
	}
	return s.cfg.FS.SyncDir(s.cfg.Dir)
}

// writeSnapshot saves a snapshot, then removes the previous one.
func (s *Store) writeSnapshot(snap *raft.Snapshot) error {
	b, err := encodeFrame(framePosition{s.saved.Storage, uint64(snap.Index), 0}, snap)
	if err != nil {
		return err
	}
	if err := s.writeAtomic(snapshotName(snap.Index), b); err != nil {
		return err
	}
	old := s.saved.Snapshot.Index
	s.saved.Snapshot.Index, s.saved.Snapshot.Term = snap.Index, snap.Term
	if old == 0 || old == snap.Index {
		return nil
	}
	return s.cfg.FS.Remove(s.path(snapshotName(old)))
}
