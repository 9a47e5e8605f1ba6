package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

// Guards against a mirror that tells its followers other instances than the registry would.
func TestMirrorFollowsRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := New(Settings{})
		var m Mirror
		ids := []fleet.BackendID{"a", "b", "c"}
		for i, step := range rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch step {
			case 0, 1:
				r.Observe(now, heartbeat(id, fleet.Incarnation(i+1), 1, atAddress(string(id))))
			case 2:
				in, _, _ := r.Get(id)
				r.Depart(now, Instance{ID: id, Incarnation: in.Incarnation, State: Gone})
			case 3:
				in, _, _ := r.Get(id)
				r.SetModels(id, in.Incarnation, []Model{{Name: "m", Version: i}})
			case 4:
				m.Apply(now, r.ChangedAfter(m.Revision()), r.Revision())
			case 5:
				m.Reset()
			}
		}
		m.Apply(now, r.ChangedAfter(m.Revision()), r.Revision())
		for at := range r.Revision() + 1 {
			require.Equal(t, r.ChangedAfter(at), m.ChangedAfter(at), "after revision %d", at)
		}
	})
}
