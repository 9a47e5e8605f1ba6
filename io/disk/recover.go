package disk

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

const (
	tmpSuffix = ".tmp"
	idName    = "id"
	// idSegment stands for the id file in checksums; no segment has this number.
	idSegment = 0
)

// corrupt returns an error that names the file and the remedy.
func (s *Store) corrupt(name, format string, args ...any) error {
	return ErrCorrupt.New("%s: %s; remove this host from the group, empty the directory %s, start the host and add it "+
		"as a learner", s.path(name), fmt.Sprintf(format, args...), s.set.Dir)
}

// recover reads the directory.
func (s *Store) recover() error {
	names, err := s.set.FS.ReadDir(s.set.Dir)
	if err != nil {
		return ErrFailed.Wrap(err, "data directory %s cannot be read; check its permissions", s.set.Dir)
	}
	var snapshots, segments []string
	hasID := false
	for _, n := range names {
		switch {
		case strings.HasSuffix(n, tmpSuffix):
			if err := s.set.FS.Remove(s.path(n)); err != nil {
				return s.fail(err)
			}
		case n == idName:
			hasID = true
		case strings.HasPrefix(n, "snapshot-"):
			snapshots = append(snapshots, n)
		case strings.HasPrefix(n, "wal-"):
			segments = append(segments, n)
		}
	}
	if err := s.recoverID(hasID, len(snapshots)+len(segments)); err != nil {
		return err
	}
	if err := s.recoverSnapshot(snapshots); err != nil {
		return err
	}
	for i, n := range segments {
		if err := s.recoverSegment(n, i == len(segments)-1); err != nil {
			return err
		}
	}
	return s.begin()
}

// recoverID reads the folder's number, or gives one to an empty folder.
func (s *Store) recoverID(present bool, others int) error {
	if !present {
		if others > 0 {
			return s.corrupt(idName, "the file is missing")
		}
		for s.set.NewStorageID == 0 {
			s.set.NewStorageID = raft.StorageID(rand.Uint64())
		}
		s.saved.Storage = s.set.NewStorageID
		b, err := frame(place{segment: idSegment}, s.saved.Storage)
		if err == nil {
			err = s.writeAtomic(idName, b)
		}
		if err != nil {
			return s.fail(err)
		}
		return nil
	}
	return s.readWhole(idName, place{segment: idSegment}, &s.saved.Storage)
}

// readWhole decodes a file of one frame.
func (s *Store) readWhole(name string, p place, v any) error {
	data, err := s.set.FS.ReadFile(s.path(name))
	if err != nil {
		return s.fail(err)
	}
	payload, ok := payloadAt(p, data)
	if !ok || len(payload)+frameHeader != len(data) {
		return s.corrupt(name, "the checksum does not match")
	}
	if err := s.dec.Unmarshal(payload, v); err != nil {
		return s.corrupt(name, "it was written by another version: %v", err)
	}
	return nil
}

// recoverSnapshot reads the newest snapshot and removes older ones, which a crash may have left.
func (s *Store) recoverSnapshot(names []string) error {
	if len(names) == 0 {
		return nil
	}
	for _, n := range names[:len(names)-1] {
		if err := s.set.FS.Remove(s.path(n)); err != nil {
			return s.fail(err)
		}
	}
	name := names[len(names)-1]
	var i uint64
	if _, err := fmt.Sscanf(name, "snapshot-%016x", &i); err != nil {
		return s.corrupt(name, "the name is not one of this program")
	}
	return s.readWhole(name, place{s.saved.Storage, i, 0}, &s.saved.Snapshot)
}

func (s *Store) recoverSegment(name string, last bool) error {
	var seg segment
	if _, err := fmt.Sscanf(name, "wal-%016x.log", &seg.number); err != nil {
		return s.corrupt(name, "the name is not one of this program")
	}
	data, err := s.set.FS.ReadFile(s.path(name))
	if err != nil {
		return s.fail(err)
	}
	p := place{s.saved.Storage, seg.number, 0}
	for p.offset < len(data) {
		payload, ok := payloadAt(p, data)
		if !ok {
			break
		}
		var r record
		if err := s.dec.Unmarshal(payload, &r); err != nil {
			return s.corrupt(name, "offset %d was written by another version: %v", p.offset, err)
		}
		if (r.Head != nil) != (p.offset == 0) {
			return s.corrupt(name, "offset %d holds a record that doesn't belong there", p.offset)
		}
		if err := s.replay(name, &seg, &r); err != nil {
			return err
		}
		p.offset += frameHeader + len(payload)
	}
	if p.offset < len(data) && (!last || intactAfter(p, data)) {
		return s.corrupt(name, "the frame at offset %d is damaged", p.offset)
	}
	if p.offset == 0 {
		if !last {
			return s.corrupt(name, "the file is empty")
		}
		// A crash while the segment was begun; nothing in it was acknowledged.
		if err := s.set.FS.Remove(s.path(name)); err != nil {
			return s.fail(err)
		}
		return nil
	}
	s.segments = append(s.segments, seg)
	s.size = p.offset
	if last && p.offset < len(data) {
		return s.cut(name, p.offset)
	}
	return nil
}

// cut removes a torn tail.
func (s *Store) cut(name string, size int) error {
	f, err := s.set.FS.Append(s.path(name))
	if err != nil {
		return s.fail(err)
	}
	s.file = f
	if err := f.Truncate(int64(size)); err != nil {
		return s.fail(err)
	}
	if err := f.Sync(); err != nil {
		return s.fail(err)
	}
	return nil
}

// replay takes a record into the state read so far.
func (s *Store) replay(name string, seg *segment, r *record) error {
	if r.State != nil {
		s.saved.State = *r.State
	}
	if h := r.Head; h != nil {
		switch {
		case h.Reset || len(s.segments) == 0:
			s.saved.Entries = nil
		case h.Last != s.last || seg.number != s.segments[len(s.segments)-1].number+1:
			return s.corrupt(name, "a segment before it is missing")
		}
		s.last, seg.high = h.Last, h.Last
	}
	for _, e := range r.Entries {
		first := s.last + 1 - fleet.Index(len(s.saved.Entries))
		if e.Index > s.last+1 {
			return s.corrupt(name, "entries %d to %d are missing", s.last+1, e.Index-1)
		}
		// An entry before the first one replaces entries of a segment that was dropped after a snapshot.
		first = min(first, e.Index)
		s.saved.Entries = append(s.saved.Entries[:e.Index-first], e)
		s.last, seg.high = e.Index, max(seg.high, e.Index)
	}
	return nil
}

// begin opens the last segment for appending, or a new one if the log doesn't reach the snapshot.
func (s *Store) begin() error {
	snap := &s.saved.Snapshot
	first := s.last + 1 - fleet.Index(len(s.saved.Entries))
	if len(s.segments) > 0 && first > snap.Index+1 {
		return s.corrupt(segmentName(s.segments[0].number), "entries %d to %d are missing", snap.Index+1, first-1)
	}
	stale := len(s.segments) == 0 || s.last < snap.Index
	if !stale && snap.Index >= first {
		// A crash after a received snapshot was saved and before the log was dropped.
		stale = s.saved.Entries[snap.Index-first].Term != snap.Term
	}
	if stale {
		s.saved.Entries = nil
		old := len(s.segments)
		if err := s.roll(head{Last: snap.Index, Reset: true}); err != nil {
			return s.fail(err)
		}
		if err := s.dropSegments(old); err != nil {
			return s.fail(err)
		}
		return nil
	}
	if s.file == nil {
		f, err := s.set.FS.Append(s.path(segmentName(s.segments[len(s.segments)-1].number)))
		if err != nil {
			return s.fail(err)
		}
		s.file = f
	}
	return nil
}
