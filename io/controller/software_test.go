package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// Guards against a leader that says a service has one software version although it has heard of a server of another one.
func TestKnownSoftwareBeforeTheLogTellsOfIt(t *testing.T) {
	onRecord := []fleet.SoftwareVersion{"v1"}
	old := registry.Instance{ID: "a", Service: "s", Software: "v1"}
	require.Equal(t, []fleet.SoftwareVersion{"v1"}, knownSoftware(onRecord, "s", []registry.Instance{old, {ID: "c", Service: "t", Software: "v3"}}))
	require.Equal(t, []fleet.SoftwareVersion{"v1", "v2"}, knownSoftware(onRecord, "s", []registry.Instance{old, {ID: "b", Service: "s", Software: "v2"}}))
	require.Empty(t, knownSoftware(nil, "s", nil))
}
