package logs

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"toucanway/core/pause"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer.
	maxQueuedLines = 1024
	// sampleTick, sampleFirst and sampleThereafter limit the lines with the same message: in each tick, the first sampleFirst
	// lines are written, and then one in sampleThereafter.
	sampleTick       = time.Second
	sampleFirst      = 100
	sampleThereafter = 50
	// flushInterval is how long lines are collected, so that one write contains several.
	flushInterval = 50 * time.Millisecond
	// maxWrite bounds the bytes of one write.
	maxWrite = 64 << 10
)

// Writer queues lines for the goroutine that writes them; it implements zapcore.WriteSyncer.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a writer to out; nothing is written before Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a line or drops it if the queue is full; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since Run writes all queued lines.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were dropped because the queue was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those that are still queued.
func (w *Writer) Run(ctx context.Context) error {
	var buf []byte
	for {
		select {
		case line := <-w.lines:
			buf = append(buf[:0], line...)
		case <-ctx.Done():
			return w.flush()
		}
		// When the context ends, this wait ends at once and the queued lines are written.
		_ = pause.For(ctx, flushInterval)
		if err := w.write(w.appendQueued(buf)); err != nil {
			return err
		}
	}
}

// appendQueued appends queued lines to buf, up to about maxWrite bytes.
func (w *Writer) appendQueued(buf []byte) []byte {
	for len(buf) < maxWrite {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

func (w *Writer) flush() error {
	for {
		buf := w.appendQueued(nil)
		if len(buf) == 0 {
			return nil
		}
		if err := w.write(buf); err != nil {
			return err
		}
	}
}

func (w *Writer) write(b []byte) error {
	_, err := w.out.Write(b)
	return err
}

// New returns a logger that writes JSON lines for a host to w. Frequent lines with the same message are sampled.
func New(w zapcore.WriteSyncer, level zapcore.Level, host string) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey, cfg.NameKey = "time", "message", "subsystem"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level)
	core = zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter)
	return zap.New(core).With(zap.String("host", host))
}
