package callers

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against an error answer that repeats the text of an error, which may quote bytes of a server.
func TestRefusalOfUnknownError(t *testing.T) {
	r := toRefusal(errors.New("engine at 10.0.0.1:80 sent secret-of-another"))
	require.Equal(t, fleet.CodeBackendFailed, r.Code)
	require.Equal(t, fleet.MayHaveRun, r.Execution)
	require.NotContains(t, r.Message, "10.0.0.1")
	require.NotContains(t, r.Message, "secret-of-another")
	require.Contains(t, r.Message, "send the request again")
	own := fleet.Refuse(fleet.CodeNoCapacity, 0, "own")
	require.Equal(t, own, toRefusal(own))
}
