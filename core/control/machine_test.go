package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against an encoding that omits part of a proposal, which a host would then not find in its log after a restart.
func TestCodecKeepsProposal(t *testing.T) {
	want := Proposal{Proposer: Proposer{Host: "h1", Incarnation: 3}, Seq: 7, Command: &SetReplicaTarget{Model: "m", Count: 2}}
	data, err := Encode(want)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Equal(t, fleet.ModelID("m"), got.Command.(*SetReplicaTarget).Model)
}

// newOwnedEngine returns a state with one engine of 100 bytes of memory that host h1 owns, and a function that applies
// commands to it.
func newOwnedEngine(t *testing.T) (*State, func(Command) Result) {
	s := &State{}
	apply := func(c Command) Result {
		data, err := Encode(Proposal{Command: c})
		require.NoError(t, err)
		return s.Apply(s.Applied()+1, data)
	}
	apply(&OpenSession{Host: "h1"})
	apply(&OpenSession{Host: "h2"})
	apply(&PutBackend{Announcement: fleet.Announcement{ID: "e1", Incarnation: 1, Memory: 100, Slots: 4}})
	apply(&AssignOwner{Backend: "e1", Owner: "h1", Expected: 3})
	apply(&SetReplicaTarget{Model: "m", Count: 1})
	return s, apply
}

func decideLoad(model fleet.ModelID, memory, reserve fleet.Bytes) *DecideLoad {
	return &DecideLoad{Model: model, Backend: "e1", Incarnation: 1, Memory: memory, Reserve: reserve}
}

// Guards against a decision that overcommits a backend server's memory or exceeds the decided number of replicas.
func TestDecideLoadIsBounded(t *testing.T) {
	tests := map[string]struct {
		before []Command
		load   *DecideLoad
		want   Reason
	}{
		"fits":                     {nil, decideLoad("m", 80, 20), ""},
		"exceeds the memory":       {nil, decideLoad("m", 101, 0), RejectMemory},
		"leaves no reserve":        {nil, decideLoad("m", 90, 20), RejectMemory},
		"negative reserve":         {nil, decideLoad("m", 110, -20), RejectMemory},
		"above the target":         {[]Command{decideLoad("m", 10, 0)}, decideLoad("m", 10, 0), RejectReplicaTarget},
		"second replica on server": {[]Command{&SetReplicaTarget{Model: "m", Count: 2}, decideLoad("m", 10, 0)}, decideLoad("m", 10, 0), RejectDuplicate},
		"other incarnation":        {nil, &DecideLoad{Model: "m", Backend: "e1", Incarnation: 2, Memory: 10}, RejectIncarnation},
		"server is leaving":        {[]Command{&PutBackend{Announcement: fleet.Announcement{ID: "e1", Incarnation: 1, Memory: 100}, Leaving: true}}, decideLoad("m", 10, 0), RejectUnknown},
		"server is lost":           {[]Command{decideLoad("m", 60, 0), &RemoveBackend{Backend: "e1", Incarnation: 1}}, decideLoad("m", 10, 0), RejectUnknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, apply := newOwnedEngine(t)
			for _, c := range tc.before {
				require.Empty(t, apply(c).Reason)
			}
			require.Equal(t, tc.want, apply(tc.load).Reason)
		})
	}
}

// Guards against a loaded model whose memory is not counted, because an earlier decision to load the same model, which was
// not sent to the engine, is mistaken for its record.
func TestSettleCountsModelWithUnsentDecision(t *testing.T) {
	s, apply := newOwnedEngine(t)
	require.Empty(t, apply(decideLoad("m", 60, 0)).Reason)
	require.Empty(t, apply(&SettleInventory{
		Backend: "e1", Incarnation: 1, Fence: 4, Before: s.Applied(),
		Models: []fleet.LoadedModel{{Model: "m", State: fleet.ReplicaReady, Memory: 70}},
	}).Reason)
	records := s.ReplicasOn("e1")
	require.Len(t, records, 1)
	require.Equal(t, ReplicaUnloadIntended, records[0].State)
	require.Equal(t, fleet.Bytes(70), s.MemoryOn("e1"))
}

// Guards against sent orders that are considered executed or not executed, instead of in doubt, once the session of the host
// that sent them ends.
func TestClosedSessionPutsSentOrdersInDoubt(t *testing.T) {
	s, apply := newOwnedEngine(t)
	order := fleet.OrderID(apply(decideLoad("m", 60, 0)).Index)
	require.Empty(t, apply(&ReportOrder{Order: order, Fence: 4, State: ReplicaSent}).Reason)
	v, _ := s.Session("h1")
	require.Empty(t, apply(&CloseSession{Host: "h1", Incarnation: v.Incarnation}).Reason)
	r, ok := s.Replica(order)
	require.True(t, ok)
	require.Equal(t, ReplicaInDoubt, r.State)
	require.Equal(t, RejectStaleFence, apply(&ReportOrder{Order: order, Fence: 4, State: ReplicaReady}).Reason)
	require.Equal(t, fleet.Bytes(60), s.MemoryOn("e1"))
}

// Guards against a snapshot that loses state, or a restored state without its lookup indexes.
func TestSnapshotKeepsState(t *testing.T) {
	s, apply := newOwnedEngine(t)
	apply(decideLoad("m", 60, 0))
	data, err := s.Encode()
	require.NoError(t, err)
	got, err := DecodeState(data)
	require.NoError(t, err)
	again, err := got.Encode()
	require.NoError(t, err)
	require.Equal(t, data, again)
	v, _ := got.Session("h1")
	entry, err := Encode(Proposal{Command: &CloseSession{Host: "h1", Incarnation: v.Incarnation}})
	require.NoError(t, err)
	require.Empty(t, got.Apply(got.Applied()+1, entry).Reason)
	b, _ := got.Backend("e1")
	require.Empty(t, b.Owner)
}

// Guards against two documents that are accepted for the same base version, and against a repeated submission that is
// accepted as a new document.
func TestConcurrentAndRepeatedSubmissions(t *testing.T) {
	s, apply := newOwnedEngine(t)
	doc := func(base fleet.DocumentVersion, text string) *SubmitDocument {
		return &SubmitDocument{Base: base, Digest: Digest(text), Hunks: []Hunk{{End: len(SplitLines(s.Document().Text)), Lines: SplitLines(text)}}, Sections: []string{text}}
	}
	first, other := doc(0, "a\n"), doc(0, "b\n")
	require.EqualValues(t, 1, apply(first).Version)
	res := apply(other)
	require.Equal(t, RejectConflict, res.Reason)
	require.Equal(t, []string{"a\n"}, res.Sections)
	require.EqualValues(t, 1, apply(first).Version)
	require.EqualValues(t, 2, apply(doc(1, "b\n")).Version)
	require.EqualValues(t, 1, apply(first).Version, "a late repetition doesn't get the first answer")
	require.Equal(t, "b\n", s.Document().Text)
}
