package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against results that depend on anything but the seed.
func TestRunIsDeterministic(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			first, err := Run(name, 1)
			require.NoError(t, err)
			second, err := Run(name, 1)
			require.NoError(t, err)
			require.Equal(t, first, second)
			t.Log(first)
		})
	}
}
