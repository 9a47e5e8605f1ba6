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
	// ErrCorrupt reports files that were changed or lost; the message names the remedy.
	ErrCorrupt = Errors.NewType("corrupt")
	// ErrFailed reports a write or sync that failed; the store refuses all further work.
	ErrFailed = Errors.NewType("failed")
	// ErrInUse reports a directory that another process uses.
	ErrInUse = Errors.NewType("in-use")
)

// DefaultSegmentSize is the size after which a new segment begins.
const DefaultSegmentSize = 8 * fleet.MiB

// Settings configure a Store; a zero field means its default, but for Dir and NewStorageID.
type Settings struct {
	Dir string
	// NewStorageID is the number that an empty directory gets, by default a random one.
	NewStorageID raft.StorageID
	SegmentSize  fleet.Bytes
	// FS is OS by default.
	FS FS
}

// Store is an open directory. Its methods may be called by several goroutines, one at a time.
type Store struct {
	set  Settings
	lock io.Closer
	dec  cbor.DecMode

	mu       sync.Mutex
	failed   error
	saved    raft.Saved
	segments []segment
	file     File
	size     int
	last     fleet.Index
}

// segment is one file of the log.
type segment struct {
	number uint64
	// high is the highest index in it, or the one before it while it has none.
	high fleet.Index
}

// Open reads a directory, creating it if it isn't there, cuts a torn tail and checks everything before it.
func Open(set Settings) (*Store, error) {
	if set.FS == nil {
		set.FS = OS{}
	}
	if set.SegmentSize == 0 {
		set.SegmentSize = DefaultSegmentSize
	}
	if err := set.FS.MkdirAll(set.Dir); err != nil {
		return nil, ErrFailed.Wrap(err, "data directory %s cannot be created; check its parent's permissions", set.Dir)
	}
	dec, err := decoding()
	if err != nil {
		return nil, err
	}
	lock, err := set.FS.Lock(filepath.Join(set.Dir, "lock"))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrInUse.Wrap(err, "data directory %s is in use; stop the other process", set.Dir)
	}
	if err != nil {
		return nil, ErrFailed.Wrap(err, "data directory %s cannot be locked; check its permissions and free space", set.Dir)
	}
	s := &Store{set: set, lock: lock, dec: dec}
	if err := s.recover(); err != nil {
		// What went wrong is in err; the files are closed only to let go of them.
		_, _ = s.closeFile(), lock.Close()
		return nil, err
	}
	return s, nil
}

// Load returns what the directory held when it was opened, and lets go of it.
func (s *Store) Load() (raft.Saved, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.saved
	s.saved.Entries, s.saved.Snapshot.Data = nil, nil
	return out, s.failed
}

// Save makes a hard state, if not nil, and entries durable by one write and one sync. Entries replace those from the
// first one's index on.
func (s *Store) Save(state *raft.HardState, entries []raft.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if fleet.Bytes(s.size) >= s.set.SegmentSize {
		if err := s.roll(head{Last: s.last}); err != nil {
			return s.fail(err)
		}
	}
	if err := s.write(record{State: state, Entries: entries}); err != nil {
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
	if err := s.roll(head{Last: snap.Index, Reset: true}); err != nil {
		return s.fail(err)
	}
	if err := s.dropSegments(len(s.segments) - 1); err != nil {
		return s.fail(err)
	}
	return nil
}

// Compact makes a snapshot of the host's own state durable and drops the segments whose entries are all at or before
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
	for k < len(s.segments)-1 && s.segments[k].high <= keepAfter {
		k++
	}
	if err := s.dropSegments(k); err != nil {
		return s.fail(err)
	}
	return nil
}

// Close ends the use of the directory.
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
	s.failed = ErrFailed.Wrap(err, "data directory %s cannot be written; free space or replace the disk, then start again",
		s.set.Dir)
	return s.failed
}

func (s *Store) path(name string) string { return filepath.Join(s.set.Dir, name) }

func segmentName(number uint64) string { return fmt.Sprintf("wal-%016x.log", number) }

func snapshotName(i fleet.Index) string { return fmt.Sprintf("snapshot-%016x", uint64(i)) }

// write appends a frame to the last segment and syncs it.
func (s *Store) write(r record) error {
	seg := &s.segments[len(s.segments)-1]
	b, err := frame(place{s.saved.Storage, seg.number, s.size}, r)
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
		s.last = r.Entries[k-1].Index
		seg.high = max(seg.high, s.last)
	}
	return nil
}

// roll begins a new segment.
func (s *Store) roll(h head) error {
	number := uint64(1)
	if k := len(s.segments); k > 0 {
		number = s.segments[k-1].number + 1
	}
	f, err := s.set.FS.Create(s.path(segmentName(number)))
	if err != nil {
		return err
	}
	if err := s.closeFile(); err != nil {
		return errors.Join(err, f.Close())
	}
	s.file, s.size, s.last = f, 0, h.Last
	s.segments = append(s.segments, segment{number, h.Last})
	state := s.saved.State
	if err := s.write(record{State: &state, Head: &h}); err != nil {
		return err
	}
	return s.set.FS.SyncDir(s.set.Dir)
}

// dropSegments removes the k oldest segments. Each removal is made durable before the next one, so that a crash
// leaves no gap.
func (s *Store) dropSegments(k int) error {
	for range k {
		if err := s.set.FS.Remove(s.path(segmentName(s.segments[0].number))); err != nil {
			return err
		}
		if err := s.set.FS.SyncDir(s.set.Dir); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// writeAtomic makes a whole file durable under its name or not at all.
func (s *Store) writeAtomic(name string, b []byte) error {
	tmp := s.path(name + tmpSuffix)
	f, err := s.set.FS.Create(tmp)
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.set.FS.Rename(tmp, s.path(name)); err != nil {
		return err
	}
	return s.set.FS.SyncDir(s.set.Dir)
}

// writeSnapshot saves a snapshot, then removes the one before it.
func (s *Store) writeSnapshot(snap *raft.Snapshot) error {
	b, err := frame(place{s.saved.Storage, uint64(snap.Index), 0}, snap)
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
	return s.set.FS.Remove(s.path(snapshotName(old)))
}
