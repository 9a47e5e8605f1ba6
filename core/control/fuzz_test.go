package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against commands and snapshots that make every host that applies them panic.
func FuzzApply(f *testing.F) {
	var m Machine
	for i, c := range []Command{
		&OpenSession{Host: "a", Incarnation: 1}, &DrainSession{Host: "a"}, &SubmitDocument{}, &PutBackend{}, &RemoveBackend{},
		&AssignOwner{}, &ReleaseOwner{}, &SetReplicaTarget{Model: "m", Count: 1}, &DecideLoad{}, &DecideUnload{}, &ReportOrder{},
		&SettleInventory{}, &RecordCrash{}, &DeleteCrashRecords{}, &CloseSession{Host: "a", Incarnation: 1},
	} {
		data, err := Encode(Proposal{Proposer: Proposer{Host: "a"}, Command: c})
		require.NoError(f, err)
		f.Add(data)
		m.State.Apply(m.State.Applied()+1, data)
		require.EqualValues(f, i+1, m.State.Applied())
	}
	snapshot, err := m.Snapshot()
	require.NoError(f, err)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Machine
		restored := m.Restore(1, data) == nil
		m.Apply(2, data)
		m.Apply(3, data)
		if restored {
			_, err := m.Snapshot()
			require.NoError(t, err)
		}
	})
}
