package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against periodic work that runs at once, at another interval, or after the context has ended.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began := time.Now()
		var calls []time.Duration
		Every(ctx, time.Second, func() { calls = append(calls, time.Since(began)) })
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, calls)
		require.Equal(t, 3500*time.Millisecond, time.Since(began))
	})
}
