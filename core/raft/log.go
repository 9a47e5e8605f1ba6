package raft

import "toucanway/core/fleet"

// entryLog holds the entries after an offset in memory. The entries of a returned slice are never overwritten in place.
type entryLog struct {
	// offset and offsetTerm are the index and term of the entry before the first one in entries.
	offset     fleet.Index
	offsetTerm Term
	entries    []Entry
}

func (l *entryLog) last() fleet.Index { return l.offset + fleet.Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry, and false if the entry is compacted or doesn't exist yet.
func (l *entryLog) term(i fleet.Index) (Term, bool) {
	switch {
	case i == l.offset:
		return l.offsetTerm, true
	case i < l.offset || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.offset-1].Term, true
	}
}

// slice returns the entries from lo up to hi inclusive: at least one, and more while they fit into maxBytes.
func (l *entryLog) slice(lo, hi fleet.Index, maxBytes fleet.Bytes) []Entry {
	hi = min(hi, l.last())
	if lo <= l.offset || lo > hi {
		return nil
	}
	es := l.entries[lo-l.offset-1 : hi-l.offset]
	var size fleet.Bytes
	for i := range es {
		size += es[i].Size()
		if size > maxBytes && i > 0 {
			return es[:i:i]
		}
	}
	return es[:len(es):len(es)]
}

// entryOverhead is the approximate encoded size of index, term and kind, in bytes.
const entryOverhead = 16

// Size returns the approximate encoded size of the entry.
func (e *Entry) Size() fleet.Bytes { return fleet.Bytes(len(e.Data) + entryOverhead) }

func (l *entryLog) append(es ...Entry) { l.entries = append(l.entries, es...) }

// truncate drops the entries from i on.
func (l *entryLog) truncate(i fleet.Index) {
	k := i - l.offset - 1
	l.entries = l.entries[:k:k]
}

// compact drops the entries up to i.
func (l *entryLog) compact(i fleet.Index) {
	t, ok := l.term(i)
	if !ok || i == l.offset {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.offset:]...)
	l.offset, l.offsetTerm = i, t
}

// reset empties the log after a snapshot.
func (l *entryLog) reset(i fleet.Index, t Term) { *l = entryLog{offset: i, offsetTerm: t} }

// upToDate reports whether a log whose last entry has index i and term t is at least as up to date as this one. A voter
// votes only for candidates with such a log.
func (l *entryLog) upToDate(i fleet.Index, t Term) bool {
	return t > l.lastTerm() || t == l.lastTerm() && i >= l.last()
}

// lastBefore returns the index and term of the last entry at or before i whose term is at most t.
func (l *entryLog) lastBefore(i fleet.Index, t Term) (fleet.Index, Term) {
	for i = min(i, l.last()); i > l.offset; i-- {
		if et, _ := l.term(i); et <= t {
			return i, et
		}
	}
	return min(i, l.offset), l.offsetTerm
}
