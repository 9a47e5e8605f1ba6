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
