package ledger

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"toucanway/core/fleet"
)

// Bounds of the ledger.
const (
	MaxAnswerBytes = 256 << 10
	// maxSnapshotRecords is above the highest setting of the records of a group.
	maxSnapshotRecords = 1 << 26
	maxAbandoned       = 16
	defaultMaxRecords  = 200_000
	maxBodyBytes       = 128 << 20
)

// Status is the state of a record.
type Status int

// States of a record.
const (
	StatusDispatched Status = iota
	StatusAnswered
	StatusUnknown
	// StatusAbandoned means that no attempt ran so far; a new attempt may.
	StatusAbandoned
)

// Record is what the ledger knows of one request.
type Record struct {
	Key         Key               `cbor:"1,keyasint"`
	Fingerprint fleet.Fingerprint `cbor:"2,keyasint"`
	Status      Status            `cbor:"3,keyasint"`
	Attempt     Attempt           `cbor:"4,keyasint"`
	Answer      *Answer           `cbor:"5,keyasint,omitempty"`
	Abandoned   []Attempt         `cbor:"6,keyasint,omitempty"`
	Touched     time.Duration     `cbor:"7,keyasint"`
}

// Machine is the state of one ledger group; it implements raft.StateMachine. The zero value is an empty ledger. It is
// not safe for concurrent use.
type Machine struct {
	// maxRecords bounds the records kept; zero means 200,000.
	maxRecords int
	elapsed    time.Duration
	records    map[Key]*list.Element
	// byAge holds *Record ordered by Touched, oldest first.
	byAge     list.List
	bodyBytes int64
}

// Len returns the number of records.
func (m *Machine) Len() int { return len(m.records) }

// Lookup returns a copy of a key's record and whether there is one.
func (m *Machine) Lookup(k Key) (Record, bool) {
	e, ok := m.records[k]
	if !ok {
		return Record{}, false
	}
	return *e.Value.(*Record), true
}

// DispatchedBy returns the lives of hosts that hold requests without an outcome.
func (m *Machine) DispatchedBy() []Attempt {
	lives := map[Attempt]bool{}
	for _, e := range m.records {
		if r := e.Value.(*Record); r.Status == StatusDispatched {
			lives[Attempt{Host: r.Attempt.Host, Incarnation: r.Attempt.Incarnation}] = true
		}
	}
	return slices.Collect(maps.Keys(lives))
}

// GroupOf returns the number, from 0, of the ledger group that holds a key.
func GroupOf(k Key, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(k.Tenant)+"\x00"+k.Key) % uint64(groups))
}

// Apply carries out one log entry and returns the encoded Result.
func (m *Machine) Apply(_ fleet.Index, entry []byte) []byte {
	res := Result{Verdict: VerdictStale}
	if c, err := Decode(entry); err == nil {
		res = m.apply(c)
	}
	out, err := cbor.Marshal(res)
	if err != nil {
		panic("ledger: result cannot be encoded: " + err.Error())
	}
	return out
}

func (m *Machine) apply(c Command) Result {
	if m.records == nil {
		m.records = map[Key]*list.Element{}
	}
	switch c := c.(type) {
	case *Dispatch:
		return m.dispatch(c)
	case *Complete:
		return m.complete(c)
	case *Abandon:
		return m.abandon(c)
	case *MarkUnknown:
		return m.markUnknown(c)
	case *CloseHost:
		return m.closeHost(c)
	case *Advance:
		return m.advance(c)
	default:
		panic("ledger: command without a handler")
	}
}

func (m *Machine) dispatch(c *Dispatch) Result {
	r := m.get(c.Key)
	switch {
	case r == nil && m.full():
		return Result{Verdict: VerdictFull}
	case r == nil:
		m.put(&Record{Key: c.Key, Fingerprint: c.Fingerprint, Status: StatusDispatched, Attempt: c.Attempt})
		return Result{Verdict: VerdictAccepted, Attempt: c.Attempt}
	case r.Fingerprint != c.Fingerprint:
		return Result{Verdict: VerdictMismatch}
	case r.Status == StatusAbandoned && slices.Contains(r.Abandoned, c.Attempt):
		return Result{Verdict: VerdictAbandoned}
	case r.Status == StatusAbandoned:
		r.Status = StatusDispatched
		r.Attempt = c.Attempt
		m.touch(r)
		return Result{Verdict: VerdictAccepted, Attempt: c.Attempt}
	case r.Status == StatusDispatched && r.Attempt == c.Attempt:
		return Result{Verdict: VerdictAccepted, Attempt: c.Attempt}
	default:
		return m.describe(r)
	}
}

// describe returns what a resend learns of a record.
func (m *Machine) describe(r *Record) Result {
	switch r.Status {
	case StatusDispatched:
		return Result{Verdict: VerdictRunning, Attempt: r.Attempt}
	case StatusAnswered:
		return Result{Verdict: VerdictAnswered, Answer: r.Answer, Attempt: r.Attempt}
	case StatusUnknown:
		return Result{Verdict: VerdictUnknown, Attempt: r.Attempt}
	case StatusAbandoned:
		return Result{Verdict: VerdictAbandoned}
	default:
		panic("ledger: record in an unknown state")
	}
}

// complete stores an answer. An answer that comes after the outcome was declared unknown is still the truth.
func (m *Machine) complete(c *Complete) Result {
	r := m.get(c.Key)
	if r == nil || r.Attempt != c.Attempt {
		return Result{Verdict: VerdictStale}
	}
	switch r.Status {
	case StatusDispatched, StatusUnknown:
	case StatusAnswered:
		return m.describe(r)
	case StatusAbandoned:
		return Result{Verdict: VerdictStale}
	default:
		panic("ledger: record in an unknown state")
	}
	a := c.Answer
	if len(a.Body) > MaxAnswerBytes || m.bodyBytes+int64(len(a.Body)) > maxBodyBytes {
		a.Body, a.Dropped = nil, true
	}
	m.bodyBytes += int64(len(a.Body))
	r.Answer = &a
	r.Status = StatusAnswered
	m.touch(r)
	return Result{Verdict: VerdictAccepted}
}

// abandon accepts only when no attempt of the request ran, so that a refusal with not-run is true.
func (m *Machine) abandon(c *Abandon) Result {
	r := m.get(c.Key)
	if r == nil {
		if m.full() {
			return Result{Verdict: VerdictFull}
		}
		m.put(&Record{Key: c.Key, Fingerprint: c.Fingerprint, Status: StatusAbandoned, Abandoned: []Attempt{c.Attempt}})
		return Result{Verdict: VerdictAccepted}
	}
	switch {
	case slices.Contains(r.Abandoned, c.Attempt) && r.Status == StatusAbandoned:
		return Result{Verdict: VerdictAccepted}
	case slices.Contains(r.Abandoned, c.Attempt):
		return m.describe(r)
	case len(r.Abandoned) >= maxAbandoned:
		return Result{Verdict: VerdictFull}
	case r.Status == StatusDispatched && r.Attempt == c.Attempt:
		r.Status = StatusAbandoned
		r.Attempt = Attempt{}
	case r.Status == StatusAbandoned:
	case r.Attempt == c.Attempt:
		return m.describe(r)
	}
	// The attempt is remembered under any status, so that its own late dispatch fails also after the record's present
	// holder was abandoned in turn.
	r.Abandoned = append(r.Abandoned, c.Attempt)
	m.touch(r)
	if r.Status != StatusAbandoned {
		return m.describe(r)
	}
	return Result{Verdict: VerdictAccepted}
}

func (m *Machine) markUnknown(c *MarkUnknown) Result {
	r := m.get(c.Key)
	if r == nil || r.Attempt != c.Attempt || r.Status != StatusDispatched {
		return Result{Verdict: VerdictStale}
	}
	r.Status = StatusUnknown
	m.touch(r)
	return Result{Verdict: VerdictAccepted}
}

func (m *Machine) closeHost(c *CloseHost) Result {
	for e := m.byAge.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Record)
		if r.Status == StatusDispatched && r.Attempt.Host == c.Host && r.Attempt.Incarnation <= c.Incarnation {
			r.Status = StatusUnknown
		}
	}
	return Result{Verdict: VerdictAccepted}
}

// advance forgets old records. A dispatched record is kept whatever its age, since its request may still be running.
func (m *Machine) advance(c *Advance) Result {
	m.elapsed += c.Elapsed
	m.maxRecords = c.MaxRecords
	for e := m.byAge.Front(); e != nil; {
		r := e.Value.(*Record)
		if m.elapsed-r.Touched <= c.Retention {
			break
		}
		next := e.Next()
		if r.Status != StatusDispatched {
			m.drop(e)
		}
		e = next
	}
	return Result{Verdict: VerdictAccepted}
}

func (m *Machine) get(k Key) *Record {
	if e, ok := m.records[k]; ok {
		return e.Value.(*Record)
	}
	return nil
}

func (m *Machine) put(r *Record) {
	r.Touched = m.elapsed
	m.records[r.Key] = m.byAge.PushBack(r)
}

func (m *Machine) touch(r *Record) {
	r.Touched = m.elapsed
	m.byAge.MoveToBack(m.records[r.Key])
}

func (m *Machine) drop(e *list.Element) {
	r := e.Value.(*Record)
	if r.Answer != nil {
		m.bodyBytes -= int64(len(r.Answer.Body))
	}
	delete(m.records, r.Key)
	m.byAge.Remove(e)
}

func (m *Machine) full() bool {
	return len(m.records) >= cmp.Or(m.maxRecords, defaultMaxRecords)
}

// snapshot is the stored form of a machine, records oldest first.
type snapshot struct {
	Elapsed    time.Duration `cbor:"1,keyasint"`
	Records    []Record      `cbor:"2,keyasint"`
	MaxRecords int           `cbor:"3,keyasint,omitempty"`
}

// Snapshot returns the encoded ledger.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{Elapsed: m.elapsed, MaxRecords: m.maxRecords, Records: make([]Record, 0, len(m.records))}
	for e := m.byAge.Front(); e != nil; e = e.Next() {
		s.Records = append(s.Records, *e.Value.(*Record))
	}
	return cbor.Marshal(s)
}

// Restore replaces the ledger by an encoded one.
func (m *Machine) Restore(_ fleet.Index, data []byte) error {
	// The library's default limit is 131,072 elements, less than the records that a ledger may hold.
	mode, err := cbor.DecOptions{MaxArrayElements: maxSnapshotRecords}.DecMode()
	if err != nil {
		return err
	}
	var s snapshot
	if err := mode.Unmarshal(data, &s); err != nil {
		return ErrCorrupt.Wrap(err, "ledger snapshot cannot be decoded; it was written by another version")
	}
	m.elapsed, m.maxRecords = s.Elapsed, s.MaxRecords
	m.records = make(map[Key]*list.Element, len(s.Records))
	m.byAge.Init()
	m.bodyBytes = 0
	for i := range s.Records {
		r := &s.Records[i]
		m.records[r.Key] = m.byAge.PushBack(r)
		if r.Answer != nil {
			m.bodyBytes += int64(len(r.Answer.Body))
		}
	}
	return nil
}
