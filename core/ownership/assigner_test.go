package ownership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

func place(region fleet.Region, dc fleet.DataCentre) fleet.Place {
	return fleet.Place{Region: region, DataCentre: dc}
}

func backend(id fleet.BackendID, owner fleet.HostID, p fleet.Place) control.Backend {
	return control.Backend{Announcement: fleet.Announcement{ID: id, Place: p}, Owner: owner, Fence: 7}
}

// Guards against owners that are far away, draining or without a session, and against many moves in one round.
func TestAssign(t *testing.T) {
	a, b, c := place("r1", "a"), place("r1", "b"), place("r2", "c")
	host := func(id fleet.HostID, p fleet.Place, draining bool) control.Session {
		return control.Session{Host: id, Place: p, Draining: draining}
	}
	for name, tc := range map[string]struct {
		sessions      []control.Session
		backends      []control.Backend
		withOpenOrder fleet.BackendID
		want          map[fleet.BackendID]fleet.HostID
	}{
		"same data centre": {
			[]control.Session{host("ha", a, false), host("hb", b, false)}, []control.Backend{backend("e", "", b)}, "",
			map[fleet.BackendID]fleet.HostID{"e": "hb"},
		},
		"same region": {
			[]control.Session{host("ha", a, false), host("hc", c, false)}, []control.Backend{backend("e", "", b)}, "",
			map[fleet.BackendID]fleet.HostID{"e": "ha"},
		},
		"anywhere": {
			[]control.Session{host("hc", c, false)}, []control.Backend{backend("e", "", b)}, "",
			map[fleet.BackendID]fleet.HostID{"e": "hc"},
		},
		"draining owner": {
			[]control.Session{host("ha", a, true), host("hc", c, false)}, []control.Backend{backend("e", "ha", a)}, "",
			map[fleet.BackendID]fleet.HostID{"e": "hc"},
		},
		"owner without session": {
			[]control.Session{host("ha", a, false)}, []control.Backend{backend("e", "gone", a)}, "",
			map[fleet.BackendID]fleet.HostID{"e": "ha"},
		},
		"one move for balance": {
			[]control.Session{host("h1", a, false), host("h2", a, false)},
			[]control.Backend{backend("e1", "h1", a), backend("e2", "h1", a), backend("e3", "h1", a), backend("e4", "h1", a)}, "e1",
			map[fleet.BackendID]fleet.HostID{"e2": "h2"},
		},
		"balanced": {
			[]control.Session{host("h1", a, false), host("h2", a, false)},
			[]control.Backend{backend("e1", "h1", a), backend("e2", "h2", a), backend("e3", "h1", a)}, "", nil,
		},
		"no host": {nil, []control.Backend{backend("e", "", a)}, "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got map[fleet.BackendID]fleet.HostID
			for _, cmd := range Assign(tc.sessions, tc.backends, func(id fleet.BackendID) bool { return id == tc.withOpenOrder }, 1) {
				as := cmd.(*control.AssignOwner)
				require.Equal(t, fleet.Fence(7), as.Expected)
				if got == nil {
					got = map[fleet.BackendID]fleet.HostID{}
				}
				got[as.Backend] = as.Owner
			}
			require.Equal(t, tc.want, got)
		})
	}
}
