package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against commands and snapshots that make every voter that applies them panic.
func FuzzApply(f *testing.F) {
	key := Key{Tenant: "t", Key: "k"}
	var m Machine
	for _, c := range []Command{
		&Dispatch{Key: key}, &Complete{Key: key}, &Abandon{Key: key}, &MarkUnknown{Key: key}, &CloseHost{}, &Advance{},
	} {
		data, err := Encode(c)
		require.NoError(f, err)
		f.Add(data)
		m.Apply(1, data)
	}
	snapshot, err := m.Snapshot()
	require.NoError(f, err)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Machine
		restored := m.Restore(1, data) == nil
		result := m.Apply(2, data)
		m.Apply(3, data)
		if restored {
			_, err := m.Snapshot()
			require.NoError(t, err)
		}
		_, err := DecodeResult(result)
		require.NoError(t, err)
	})
}
