package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against a command type without a stored form, which would be lost on restart.
func TestCodecKeepsProposal(t *testing.T) {
	want := Proposal{Proposer: Proposer{Host: "h1", Incarnation: 3}, Seq: 7, Command: &SetTarget{Model: "m", Count: 2}}
	data, err := Encode(want)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Equal(t, fleet.ModelID("m"), got.Command.(*SetTarget).Model)
}

// fixture returns a state with one owned engine of 100 bytes, and a function that applies commands to it.
func fixture(t *testing.T) (*State, func(Command) Result) {
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
	apply(&SetTarget{Model: "m", Count: 1})
	return s, apply
}

func load(model fleet.ModelID, memory, reserve fleet.Bytes) *DecideLoad {
	return &DecideLoad{Model: model, Backend: "e1", Incarnation: 1, Memory: memory, Reserve: reserve}
}

// Guards against a decision that overcommits a backend server's memory or exceeds the decided number of replicas.
func TestDecideLoadIsBounded(t *testing.T) {
	tests := map[string]struct {
		before []Command
		load   *DecideLoad
		want   Reason
	}{
		"fits":                        {nil, load("m", 80, 20), ""},
		"exceeds the memory":          {nil, load("m", 101, 0), RejectMemory},
		"leaves no reserve":           {nil, load("m", 90, 20), RejectMemory},
		"negative reserve":            {nil, load("m", 110, -20), RejectMemory},
		"above the target":            {[]Command{load("m", 10, 0)}, load("m", 10, 0), RejectTarget},
		"second on one server":        {[]Command{&SetTarget{Model: "m", Count: 2}, load("m", 10, 0)}, load("m", 10, 0), RejectDuplicate},
		"other incarnation":           {nil, &DecideLoad{Model: "m", Backend: "e1", Incarnation: 2, Memory: 10}, RejectIncarnation},
		"server leaves":               {[]Command{&PutBackend{Announcement: fleet.Announcement{ID: "e1", Incarnation: 1, Memory: 100}, Leaving: true}}, load("m", 10, 0), RejectUnknown},
		"lost replicas count as held": {[]Command{load("m", 60, 0), &RemoveBackend{Backend: "e1", Incarnation: 1}}, load("m", 10, 0), RejectUnknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, apply := fixture(t)
			for _, c := range tc.before {
				require.Empty(t, apply(c).Reason)
			}
			require.Equal(t, tc.want, apply(tc.load).Reason)
		})
	}
}

// Guards against memory of a model that an engine holds and that no record counts, since a decision of the same model that
// was never sent stood in its place.
func TestSettleCountsModelBehindUnsentDecision(t *testing.T) {
	s, apply := fixture(t)
	require.Empty(t, apply(load("m", 60, 0)).Reason)
	require.Empty(t, apply(&SettleInventory{
		Backend: "e1", Incarnation: 1, Fence: 4, Before: s.Applied(),
		Models: []fleet.LoadedModel{{Model: "m", State: fleet.ReplicaReady, Memory: 70}},
	}).Reason)
	records := s.ReplicasOn("e1")
	require.Len(t, records, 1)
	require.Equal(t, ReplicaUnloadIntended, records[0].State)
	require.Equal(t, fleet.Bytes(70), s.MemoryOn("e1"))
}

// Guards against orders that count as done or undone when their sender's session ends.
func TestClosedSessionPutsSentOrdersInDoubt(t *testing.T) {
	s, apply := fixture(t)
	order := fleet.OrderID(apply(load("m", 60, 0)).Index)
	require.Empty(t, apply(&ReportOrder{Order: order, Fence: 4, State: ReplicaSent}).Reason)
	v, _ := s.Session("h1")
	require.Empty(t, apply(&CloseSession{Host: "h1", Incarnation: v.Incarnation}).Reason)
	r, ok := s.Replica(order)
	require.True(t, ok)
	require.Equal(t, ReplicaInDoubt, r.State)
	require.Equal(t, RejectStaleFence, apply(&ReportOrder{Order: order, Fence: 4, State: ReplicaReady}).Reason)
	require.Equal(t, fleet.Bytes(60), s.MemoryOn("e1"))
}

// Guards against a snapshot that loses state or an index.
func TestSnapshotKeepsState(t *testing.T) {
	s, apply := fixture(t)
	apply(load("m", 60, 0))
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

// Guards against two documents accepted on one version and a resend that counts as a new document.
func TestSubmitRacesAndResends(t *testing.T) {
	s, apply := fixture(t)
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
	require.EqualValues(t, 1, apply(first).Version, "a late resend gets the first answer")
	require.Equal(t, "b\n", s.Document().Text)
}
