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
	// maxSnapshotRecords is above the highest maximum of records that a group can be configured with.
	maxSnapshotRecords = 1 << 26
	// maxAbandoned bounds the abandoned attempts of one record.
	maxAbandoned      = 16
	defaultMaxRecords = 200_000
	// maxBodyBytes bounds the bodies of all stored answers together.
	maxBodyBytes = 128 << 20
)

// Status is the state of a record.
type Status int

// States of a record.
const (
	StatusDispatched Status = iota
	StatusAnswered
	StatusUnknown
	// StatusAbandoned means that no attempt has run so far; a new attempt may run.
	StatusAbandoned
)

// Record is the ledger's record of one request. LastChange is the elapsed time, as summed up by Advance commands, at its last
// change.
type Record struct {
	Key         Key               `cbor:"1,keyasint"`
	Fingerprint fleet.Fingerprint `cbor:"2,keyasint"`
	Status      Status            `cbor:"3,keyasint"`
	Attempt     Attempt           `cbor:"4,keyasint"`
	Answer      *Answer           `cbor:"5,keyasint,omitempty"`
	Abandoned   []Attempt         `cbor:"6,keyasint,omitempty"`
	LastChange  time.Duration     `cbor:"7,keyasint"`
}

// Machine is the state of one ledger group; it implements raft.StateMachine. The zero value is an empty ledger. It is
// not safe for concurrent use.
type Machine struct {
	// maxRecords is the maximum number of records; zero means defaultMaxRecords.
	maxRecords int
	// elapsed is the sum of Advance.Elapsed of all commands so far.
	elapsed time.Duration
	records map[Key]*list.Element
	// byAge holds *Record ordered by LastChange, oldest first.
	byAge list.List
	// bodyBytes is the size of the bodies of all stored answers.
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

// DispatchingIncarnations returns the incarnations of hosts, as attempts without a number, that dispatched requests
// without an outcome yet.
func (m *Machine) DispatchingIncarnations() []Attempt {
	incarnations := map[Attempt]bool{}
	for _, e := range m.records {
		if r := e.Value.(*Record); r.Status == StatusDispatched {
			incarnations[Attempt{Host: r.Attempt.Host, Incarnation: r.Attempt.Incarnation}] = true
		}
	}
	return slices.Collect(maps.Keys(incarnations))
}

// GroupOf returns the number, from 0, of the ledger group that holds a key.
func GroupOf(k Key, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(k.Tenant)+"\x00"+k.Key) % uint64(groups))
}

// Apply applies one log entry and returns the encoded Result.
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
	r := m.record(c.Key)
	switch {
	case r == nil && m.isFull():
		return Result{Verdict: VerdictFull}
	case r == nil:
		m.addRecord(&Record{Key: c.Key, Fingerprint: c.Fingerprint, Status: StatusDispatched, Attempt: c.Attempt})
		return Result{Verdict: VerdictAccepted, Attempt: c.Attempt}
	case r.Fingerprint != c.Fingerprint:
		return Result{Verdict: VerdictMismatch}
	case r.Status == StatusAbandoned && slices.Contains(r.Abandoned, c.Attempt):
		return Result{Verdict: VerdictAbandoned}
	case r.Status == StatusAbandoned:
		r.Status = StatusDispatched
		r.Attempt = c.Attempt
		m.markChanged(r)
		return Result{Verdict: VerdictAccepted, Attempt: c.Attempt}
	case r.Status == StatusDispatched && r.Attempt == c.Attempt:
		return Result{Verdict: VerdictAccepted, Attempt: c.Attempt}
	default:
		return m.currentResult(r)
	}
}

// currentResult returns the result that reports the current state of a record.
func (m *Machine) currentResult(r *Record) Result {
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

// complete stores an answer. An answer that arrives after the outcome was declared unknown is still valid and replaces that
// state.
func (m *Machine) complete(c *Complete) Result {
	r := m.record(c.Key)
	if r == nil || r.Attempt != c.Attempt {
		return Result{Verdict: VerdictStale}
	}
	switch r.Status {
	case StatusDispatched, StatusUnknown:
	case StatusAnswered:
		return m.currentResult(r)
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
	m.markChanged(r)
	return Result{Verdict: VerdictAccepted}
}

// abandon accepts the command only if no attempt of the request has run, so that the refusal that the caller gets may say
// that the request did not run.
func (m *Machine) abandon(c *Abandon) Result {
	r := m.record(c.Key)
	if r == nil {
		if m.isFull() {
			return Result{Verdict: VerdictFull}
		}
		m.addRecord(&Record{Key: c.Key, Fingerprint: c.Fingerprint, Status: StatusAbandoned, Abandoned: []Attempt{c.Attempt}})
		return Result{Verdict: VerdictAccepted}
	}
	switch {
	case slices.Contains(r.Abandoned, c.Attempt) && r.Status == StatusAbandoned:
		return Result{Verdict: VerdictAccepted}
	case slices.Contains(r.Abandoned, c.Attempt):
		return m.currentResult(r)
	case len(r.Abandoned) >= maxAbandoned:
		return Result{Verdict: VerdictFull}
	case r.Status == StatusDispatched && r.Attempt == c.Attempt:
		r.Status = StatusAbandoned
		r.Attempt = Attempt{}
	case r.Status == StatusAbandoned:
	case r.Attempt == c.Attempt:
		return m.currentResult(r)
	}
	// The attempt is recorded whatever the status is. Otherwise a late dispatch of it would be accepted once the attempt
	// that is dispatched now has been abandoned, too.
	r.Abandoned = append(r.Abandoned, c.Attempt)
	m.markChanged(r)
	if r.Status != StatusAbandoned {
		return m.currentResult(r)
	}
	return Result{Verdict: VerdictAccepted}
}

func (m *Machine) markUnknown(c *MarkUnknown) Result {
	r := m.record(c.Key)
	if r == nil || r.Attempt != c.Attempt || r.Status != StatusDispatched {
		return Result{Verdict: VerdictStale}
	}
	r.Status = StatusUnknown
	m.markChanged(r)
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

// advance deletes old records. A dispatched record is kept whatever its age, since its request may still be running.
func (m *Machine) advance(c *Advance) Result {
	m.elapsed += c.Elapsed
	m.maxRecords = c.MaxRecords
	for e := m.byAge.Front(); e != nil; {
		r := e.Value.(*Record)
		if m.elapsed-r.LastChange <= c.Retention {
			break
		}
		next := e.Next()
		if r.Status != StatusDispatched {
			m.removeRecord(e)
		}
		e = next
	}
	return Result{Verdict: VerdictAccepted}
}

func (m *Machine) record(k Key) *Record {
	if e, ok := m.records[k]; ok {
		return e.Value.(*Record)
	}
	return nil
}

func (m *Machine) addRecord(r *Record) {
	r.LastChange = m.elapsed
	m.records[r.Key] = m.byAge.PushBack(r)
}

func (m *Machine) markChanged(r *Record) {
	r.LastChange = m.elapsed
	m.byAge.MoveToBack(m.records[r.Key])
}

func (m *Machine) removeRecord(e *list.Element) {
	r := e.Value.(*Record)
	if r.Answer != nil {
		m.bodyBytes -= int64(len(r.Answer.Body))
	}
	delete(m.records, r.Key)
	m.byAge.Remove(e)
}

func (m *Machine) isFull() bool {
	return len(m.records) >= cmp.Or(m.maxRecords, defaultMaxRecords)
}

// snapshot is the encoded form of a machine, with the oldest record first.
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

// Restore replaces the ledger by the one in a snapshot.
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
