package live

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against writes that arrive before their delay or out of order, and against a Close that drops queued writes.
func TestDelayedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		var sent atomic.Int64
		c := newConn(a, Route{}, DelayBetweenRegions, &sent)
		go c.send()
		began := time.Now()
		for _, part := range []string{"one ", "two ", "three"} {
			_, err := c.Write([]byte(part))
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(began), "a write returns without waiting for the reader")
		require.NoError(t, c.Close())
		got, err := io.ReadAll(b)
		require.NoError(t, err)
		require.Equal(t, "one two three", string(got))
		require.Equal(t, DelayBetweenRegions, time.Since(began))
		require.EqualValues(t, len(got), sent.Load())
		_, err = c.Write([]byte("late"))
		require.ErrorIs(t, err, net.ErrClosed)
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, net.ErrClosed)
	})
}
