package control

import (
	"github.com/fxamacker/cbor/v2"

	"toucanway/core/fleet"
)

// Machine applies the control log to a State; it implements raft.StateMachine. It is not safe for concurrent use.
type Machine struct {
	State State
}

// Apply applies one log entry and returns the encoded Result.
func (m *Machine) Apply(index fleet.Index, entry []byte) []byte {
	res := m.State.Apply(index, entry)
	out, err := cbor.Marshal(res)
	if err != nil {
		panic("control: result cannot be encoded: " + err.Error())
	}
	return out
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) { return m.State.Encode() }

// Restore replaces the state by the one in a snapshot taken at index.
func (m *Machine) Restore(index fleet.Index, snapshot []byte) error {
	s, err := DecodeState(snapshot)
	if err != nil {
		return err
	}
	s.d.Applied = index
	m.State = *s
	return nil
}

// Encode returns the encoded state; equal states give equal bytes.
func (s *State) Encode() ([]byte, error) {
	s.init()
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(s.d)
}

// DecodeState decodes a state and rebuilds its indexes.
func DecodeState(snapshot []byte) (*State, error) {
	var s State
	s.init()
	// The library's default limit is 131,072 elements; the bounds of the state allow more replica records.
	mode, err := cbor.DecOptions{MaxMapPairs: maxSnapshotPairs}.DecMode()
	if err != nil {
		return nil, err
	}
	if err := mode.Unmarshal(snapshot, &s.d); err != nil {
		return nil, ErrCorrupt.Wrap(err, "control snapshot cannot be decoded; it was written by another version")
	}
	for _, b := range s.d.Backends {
		s.setBackend(b)
	}
	for _, r := range s.AllReplicas() {
		s.byModel[r.Model] = append(s.byModel[r.Model], r.Order)
		s.byBackend[r.Backend] = append(s.byBackend[r.Backend], r.Order)
	}
	return &s, nil
}

// Skip advances the applied index past a log entry without a command, such as the first one of a term.
func (s *State) Skip(index fleet.Index) {
	s.init()
	s.d.Applied = index
}

// Apply applies one log entry. An entry that cannot be decoded changes only the applied index, and a repeated command gets
// the result of its first application.
func (s *State) Apply(index fleet.Index, entry []byte) Result {
	s.init()
	s.d.Applied = index
	p, err := Decode(entry)
	if err != nil {
		return Result{Index: index, Reason: RejectUndecodable, Message: err.Error()}
	}
	if last, ok := s.d.Proposers[p.Proposer.Host]; ok && last.Incarnation == p.Proposer.Incarnation && last.Seq == p.Seq && p.Seq != 0 {
		return last.Result
	}
	res := s.apply(index, p.Command)
	res.Index = index
	if _, open := s.d.Sessions[p.Proposer.Host]; open && p.Seq != 0 {
		s.d.Proposers[p.Proposer.Host] = proposerResult{Incarnation: p.Proposer.Incarnation, Seq: p.Seq, Result: res}
	}
	return res
}

func (s *State) apply(index fleet.Index, c Command) Result {
	switch c := c.(type) {
	case *SubmitDocument:
		return s.submitDocument(index, c)
	case *OpenSession:
		return s.openSession(index, c)
	case *DrainSession:
		return s.drainSession(c)
	case *CloseSession:
		return s.closeSession(index, c)
	case *PutBackend:
		return s.putBackend(index, c)
	case *RemoveBackend:
		return s.removeBackend(index, c)
	case *AssignOwner:
		return s.assignOwner(index, c)
	case *ReleaseOwner:
		return s.releaseOwner(index, c)
	case *SetReplicaTarget:
		return s.setReplicaTarget(c)
	case *DecideLoad:
		return s.decideLoad(index, c)
	case *DecideUnload:
		return s.decideUnload(index, c)
	case *ReportOrder:
		return s.reportOrder(index, c)
	case *SettleInventory:
		return s.settleInventory(index, c)
	case *RecordCrash:
		return s.recordCrash(index, c)
	case *DeleteCrashRecords:
		return s.deleteCrashRecords(c)
	default:
		panic("control: command without a handler")
	}
}

// reject returns the result of a rejected command. The texts must never change: a result is part of the replicated state, and
// hosts of two versions that apply the same log entry would otherwise hold different state.
func reject(r Reason, msg string) Result { return Result{Reason: r, Message: msg} }
