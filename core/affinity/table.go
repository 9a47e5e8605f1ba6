package affinity

import (
	"container/list"
	"time"

	"toucanway/core/fleet"
)

// Retention is the time for which a stream's origin is kept. No stream of a caller lasts as long.
const Retention = 2 * time.Minute

// maxStreams bounds the streams of a Table; the oldest one gives way to a new one.
const maxStreams = 1 << 16

// Origin is where a stream has begun.
type Origin struct {
	Service  fleet.ServiceID       `cbor:"1,keyasint"`
	Software fleet.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

// Table holds the origins of streams by the id of the request that began them. The zero value is empty.
type Table struct {
	streams map[fleet.RequestID]*list.Element
	// byAge holds the records in the order in which they were added.
	byAge list.List
}

type record struct {
	id      fleet.RequestID
	origin  Origin
	addedAt time.Time
}

// Add records the origin of a stream.
func (t *Table) Add(now time.Time, id fleet.RequestID, o Origin) {
	if t.streams == nil {
		t.streams = map[fleet.RequestID]*list.Element{}
	}
	if e := t.streams[id]; e != nil {
		t.byAge.Remove(e)
	}
	t.streams[id] = t.byAge.PushBack(&record{id, o, now})
	for f := t.byAge.Front(); f != nil; f = t.byAge.Front() {
		r := f.Value.(*record)
		if now.Sub(r.addedAt) <= Retention && len(t.streams) <= maxStreams {
			return
		}
		t.byAge.Remove(f)
		delete(t.streams, r.id)
	}
}

// Find returns the origin of a stream, and whether it is known.
func (t *Table) Find(now time.Time, id fleet.RequestID) (Origin, bool) {
	e := t.streams[id]
	if e == nil || now.Sub(e.Value.(*record).addedAt) > Retention {
		return Origin{}, false
	}
	return e.Value.(*record).origin, true
}
