package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
)

func apply(t require.TestingT, m *Machine, c Command) {
	data, err := Encode(c)
	require.NoError(t, err)
	m.Apply(1, data)
}

// Guards against a configuration that is replaced by an older one, or by other content with the same version.
func TestHighestVersionStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Machine{}
		newest := Replace{}
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			r := Replace{Version: routes.Version(v), Data: rapid.SliceOfN(rapid.Byte(), 1, 4).Draw(t, "data")}
			apply(t, m, Command{Replace: &r})
			if r.Version > newest.Version {
				newest = r
			}
			require.Equal(t, newest, Replace{m.State.Version, m.State.Data})
		}
	})
}

// Guards against a state that changes when it is restored from a snapshot.
func TestSnapshot(t *testing.T) {
	m := &Machine{}
	apply(t, m, Command{Replace: &Replace{Version: 7, Data: []byte("seven")}})
	apply(t, m, Command{SetOrderer: &SetOrderer{Host: "10.0.0.1"}})
	apply(t, m, Command{AddSoftware: &Software{"s", "v1"}})
	apply(t, m, Command{AddDeparture: &registry.Instance{ID: "a", Incarnation: 5, Service: "s", Address: "10.0.0.1:80", State: registry.Draining}})
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := &Machine{}
	require.NoError(t, restored.Restore(2, data))
	require.Equal(t, m.State, restored.State)
	require.Error(t, restored.Restore(2, []byte{0xff}))
}

// Guards against a log entry of another software version that stops the group or changes its state.
func TestUndecodableEntry(t *testing.T) {
	m := &Machine{State: State{Version: 3}}
	m.Apply(1, []byte{0xff, 0x00})
	require.Equal(t, State{Version: 3}, m.State)
}

// Guards against a version that is lost while others come and go, and against lists that change while they are read.
func TestSoftwareVersions(t *testing.T) {
	m := &Machine{}
	add := func(s fleet.ServiceID, v fleet.SoftwareVersion) { apply(t, m, Command{AddSoftware: &Software{s, v}}) }
	remove := func(s fleet.ServiceID, v fleet.SoftwareVersion) {
		apply(t, m, Command{RemoveSoftware: &Software{s, v}})
	}
	add("s", "v2")
	add("t", "")
	before := m.State.Software
	add("s", "v1")
	add("s", "v2")
	require.Equal(t, map[fleet.ServiceID][]fleet.SoftwareVersion{"s": {"v1", "v2"}, "t": {""}}, m.State.Software)
	remove("s", "v3")
	remove("s", "v2")
	remove("t", "")
	require.Equal(t, map[fleet.ServiceID][]fleet.SoftwareVersion{"s": {"v1"}}, m.State.Software)
	require.Equal(t, map[fleet.ServiceID][]fleet.SoftwareVersion{"s": {"v2"}, "t": {""}}, before)
}

// Guards against a departure that gives way to an earlier state or process of its server, and against one whose removal takes away a later
// one.
func TestDepartures(t *testing.T) {
	m := &Machine{}
	depart := func(inc fleet.Incarnation, s registry.State) {
		apply(t, m, Command{AddDeparture: &registry.Instance{ID: "a", Incarnation: inc, State: s}})
	}
	require.False(t, m.State.HasDeparture(fleet.BackendIncarnation{Backend: "a", Incarnation: 1}, registry.Draining))
	tests := []struct {
		inc       fleet.Incarnation
		state     registry.State
		wantInc   fleet.Incarnation
		wantState registry.State
	}{
		{5, registry.Draining, 5, registry.Draining},
		{5, registry.Gone, 5, registry.Gone},
		{5, registry.Draining, 5, registry.Gone},
		{4, registry.Gone, 5, registry.Gone},
		{6, registry.Draining, 6, registry.Draining},
	}
	for _, tt := range tests {
		before := m.State.Departures
		had := before["a"]
		depart(tt.inc, tt.state)
		require.Equal(t, tt.wantInc, m.State.Departures["a"].Incarnation)
		require.Equal(t, tt.wantState, m.State.Departures["a"].State)
		require.Equal(t, had, before["a"], "a state that a reader holds has changed")
		require.True(t, m.State.HasDeparture(fleet.BackendIncarnation{Backend: "a", Incarnation: tt.inc}, tt.state))
	}
	require.False(t, m.State.HasDeparture(fleet.BackendIncarnation{Backend: "a", Incarnation: 6}, registry.Gone))
	apply(t, m, Command{RemoveDepartures: []fleet.BackendIncarnation{{Backend: "a", Incarnation: 5}}})
	require.Contains(t, m.State.Departures, fleet.BackendID("a"))
	apply(t, m, Command{RemoveDepartures: []fleet.BackendIncarnation{{Backend: "a", Incarnation: 6}}})
	require.Empty(t, m.State.Departures)
}
