package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is a log output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that wait for a slow log output, and against unbounded memory for queued lines.
func TestWriteDoesNotBlock(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	for range 3 * maxQueuedLines {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.GreaterOrEqual(t, w.Dropped(), uint64(maxQueuedLines))
	close(out.release)
	cancel()
	require.NoError(t, <-done)
}

// Guards against lines that are lost when the process exits, and against a flood of lines with the same message.
func TestLinesAreWrittenAndSampled(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	log := New(w, zapcore.InfoLevel, "h1")
	log.Info("once", zap.String("request", "r1"))
	for range 10 * sampleFirst {
		log.Info("often")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, w.Run(ctx))
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	require.Less(t, len(lines), 2*sampleFirst)
	var first map[string]any
	require.NoError(t, json.Unmarshal(lines[0], &first))
	require.Equal(t, "once", first["message"])
	require.Equal(t, "r1", first["request"])
	require.Equal(t, "h1", first["host"])
}
