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
	// idSegment is used as the segment number in the checksum of the id file; no segment has this number.
	idSegment = 0
)

// corruptError returns an ErrCorrupt that names the file and says how to recover.
func (s *Store) corruptError(name, format string, args ...any) error {
	return ErrCorrupt.New("%s: %s; remove this host from the group, empty the data folder %s, start the host and add it "+
		"as a learner", s.path(name), fmt.Sprintf(format, args...), s.cfg.Dir)
}

// recover reads the state from the directory and opens the log for appending.
func (s *Store) recover() error {
	names, err := s.cfg.FS.ReadDir(s.cfg.Dir)
	if err != nil {
		return ErrFailed.Wrap(err, "data folder %s cannot be read; check its permissions", s.cfg.Dir)
	}
	var snapshots, segments []string
	hasID := false
	for _, n := range names {
		switch {
		case strings.HasSuffix(n, tmpSuffix):
			if err := s.cfg.FS.Remove(s.path(n)); err != nil {
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
	return s.openForAppend()
}

// recoverID reads the storage id, or writes one to an empty directory; others is the number of other files.
func (s *Store) recoverID(present bool, others int) error {
	if !present {
		if others > 0 {
			return s.corruptError(idName, "the file is missing")
		}
		for s.cfg.NewStorageID == 0 {
			s.cfg.NewStorageID = raft.StorageID(rand.Uint64())
		}
		s.saved.Storage = s.cfg.NewStorageID
		b, err := encodeFrame(framePosition{segment: idSegment}, s.saved.Storage)
		if err == nil {
			err = s.writeAtomic(idName, b)
		}
		if err != nil {
			return s.fail(err)
		}
		return nil
	}
	return s.readSingleFrame(idName, framePosition{segment: idSegment}, &s.saved.Storage)
}

// readSingleFrame decodes a file that consists of one frame.
func (s *Store) readSingleFrame(name string, p framePosition, v any) error {
	data, err := s.cfg.FS.ReadFile(s.path(name))
	if err != nil {
		return s.fail(err)
	}
	payload, ok := payloadAt(p, data)
	if !ok || len(payload)+frameHeaderSize != len(data) {
		return s.corruptError(name, "the checksum does not match")
	}
	if err := s.dec.Unmarshal(payload, v); err != nil {
		return s.corruptError(name, "the content cannot be decoded, another version wrote it: %v", err)
	}
	return nil
}

// recoverSnapshot reads the newest snapshot and removes older ones, which a crash may have left.
func (s *Store) recoverSnapshot(names []string) error {
	if len(names) == 0 {
		return nil
	}
	for _, n := range names[:len(names)-1] {
		if err := s.cfg.FS.Remove(s.path(n)); err != nil {
			return s.fail(err)
		}
	}
	name := names[len(names)-1]
	var i uint64
	if _, err := fmt.Sscanf(name, "snapshot-%016x", &i); err != nil {
		return s.corruptError(name, "the file name is not that of a snapshot")
	}
	return s.readSingleFrame(name, framePosition{s.saved.Storage, i, 0}, &s.saved.Snapshot)
}

func (s *Store) recoverSegment(name string, last bool) error {
	var seg segment
	if _, err := fmt.Sscanf(name, "wal-%016x.log", &seg.number); err != nil {
		return s.corruptError(name, "the file name is not that of a log segment")
	}
	data, err := s.cfg.FS.ReadFile(s.path(name))
	if err != nil {
		return s.fail(err)
	}
	p := framePosition{s.saved.Storage, seg.number, 0}
	for p.offset < len(data) {
		payload, ok := payloadAt(p, data)
		if !ok {
			break
		}
		var r record
		if err := s.dec.Unmarshal(payload, &r); err != nil {
			return s.corruptError(name, "the frame at offset %d cannot be decoded, another version wrote it: %v", p.offset, err)
		}
		if (r.Header != nil) != (p.offset == 0) {
			return s.corruptError(name, "the frame at offset %d has a misplaced or missing segment header", p.offset)
		}
		if err := s.replay(name, &seg, &r); err != nil {
			return err
		}
		p.offset += frameHeaderSize + len(payload)
	}
	if p.offset < len(data) && (!last || hasIntactFrameAfter(p, data)) {
		return s.corruptError(name, "the frame at offset %d is damaged", p.offset)
	}
	if p.offset == 0 {
		if !last {
			return s.corruptError(name, "the file is empty")
		}
		// The process crashed while it created the segment; nothing in it was acknowledged.
		if err := s.cfg.FS.Remove(s.path(name)); err != nil {
			return s.fail(err)
		}
		return nil
	}
	s.segments = append(s.segments, seg)
	s.size = p.offset
	if last {
		return s.rewriteTail(name, data[:p.offset])
	}
	return nil
}

// rewriteTail writes the intact frames of the last segment again and opens it for appending. What was read may be in memory only if a sync
// failed before the store was opened, and a further sync of the same file need not write it.
func (s *Store) rewriteTail(name string, data []byte) error {
	if err := s.writeAtomic(name, data); err != nil {
		return s.fail(err)
	}
	f, err := s.cfg.FS.Append(s.path(name))
	if err != nil {
		return s.fail(err)
	}
	s.file = f
	return nil
}

// replay applies a record to the state read so far.
func (s *Store) replay(name string, seg *segment, r *record) error {
	if r.State != nil {
		s.saved.State = *r.State
	}
	if h := r.Header; h != nil {
		switch {
		case h.Reset || len(s.segments) == 0:
			s.saved.Entries = nil
		case h.PrevIndex != s.lastIndex || seg.number != s.segments[len(s.segments)-1].number+1:
			return s.corruptError(name, "a segment before it is missing")
		}
		s.lastIndex, seg.maxIndex = h.PrevIndex, h.PrevIndex
	}
	for _, e := range r.Entries {
		first := s.lastIndex + 1 - fleet.Index(len(s.saved.Entries))
		if e.Index > s.lastIndex+1 {
			return s.corruptError(name, "entries %d to %d are missing", s.lastIndex+1, e.Index-1)
		}
		// An entry with an index below that of the first entry read replaced entries of a segment that was dropped after a
		// snapshot.
		first = min(first, e.Index)
		s.saved.Entries = append(s.saved.Entries[:e.Index-first], e)
		s.lastIndex, seg.maxIndex = e.Index, max(seg.maxIndex, e.Index)
	}
	return nil
}

// openForAppend opens the last segment for appending, or creates a new one if the log is not a continuation of the snapshot.
func (s *Store) openForAppend() error {
	snap := &s.saved.Snapshot
	first := s.lastIndex + 1 - fleet.Index(len(s.saved.Entries))
	if len(s.segments) > 0 && first > snap.Index+1 {
		return s.corruptError(segmentName(s.segments[0].number), "entries %d to %d are missing", snap.Index+1, first-1)
	}
	discardLog := len(s.segments) == 0 || s.lastIndex < snap.Index
	if !discardLog && snap.Index >= first {
		// If the terms differ, the process crashed between saving a received snapshot and dropping the log.
		discardLog = s.saved.Entries[snap.Index-first].Term != snap.Term
	}
	if discardLog {
		s.saved.Entries = nil
		old := len(s.segments)
		if err := s.startSegment(segmentHeader{PrevIndex: snap.Index, Reset: true}); err != nil {
			return s.fail(err)
		}
		if err := s.dropSegments(old); err != nil {
			return s.fail(err)
		}
		return nil
	}
	return nil
}
